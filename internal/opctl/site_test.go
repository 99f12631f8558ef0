//go:build !race

package opctl_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/entry"
	"damaskreach/internal/opctl"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/table"
)

// An operator looks at a site of real nodes, asks why a request went where it did and why one was refused, and takes a
// runner and a node out of service; each of these from the address of one node as well.
func TestStatusExplainAndDrainOnASite(t *testing.T) {
	const key = "the operator's key"
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := site.NewSite(1, 3)
		sum := sha256.Sum256([]byte(key))
		s.Conf.Operators = []string{hex.EncodeToString(sum[:])}
		if err := s.Start(ctx, 10); err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			s.StartNode(ctx, i)
		}
		time.Sleep(10 * time.Second)
		s.Complete(ctx, 0, "adapter-1", "prompt", 2, map[string]string{entry.HeaderRequest: "good"})
		s.Complete(ctx, 1, "nobody", "prompt", 2, map[string]string{entry.HeaderRequest: "bad"})

		kim := newOperator(t, "kim", nil)
		kim.tool.Table = func([]string) table.Table { return s.DB.TableFor("kim") }
		kim.tool.Dial = s.Net.Dial("10.0.9.9")
		file := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(file, []byte(key+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		kim.fails(t, opctl.ExitFault, []string{"an operator's key is needed"}, "explain", "--request", "good")
		kim.tells(t, []string{"nodes      3, of which 0 do not answer", "is in force on every node that answers, and there is none newer", "3 in the table, 3 with an owner", "unknown-model 1"},
			"--key-file", file, "status")
		kim.tells(t, []string{"model adapter-1@v1", " started request good: "}, "--key-file", file, "explain", "--request", "good")
		kim.tells(t, []string{"unknown-model request bad: there is no model", "told not-run"}, "--key-file", file, "explain", "--request", "bad")
		text := kim.must(t, "--key-file", file, "--node", site.Host(2)+":9000", "explain", "--request", "good", "--json")
		var answer struct{ Events []map[string]any }
		if err := json.Unmarshal([]byte(text), &answer); err != nil || len(answer.Events) < 2 || answer.Events[0]["text"] == nil {
			t.Errorf("explain --json = %s, error %v; want events with text", text, err)
		}

		kim.tells(t, []string{"leaving=true"}, "--key-file", file, "drain", "runner-0")
		time.Sleep(3 * time.Second) // the owner's next look at its runners
		kim.tells(t, []string{"runner-0", "closed"}, "--key-file", file, "status")
		kim.fails(t, opctl.ExitFault, []string{"status 401"}, "drain", "node-2")
		kim.tells(t, []string{"node node-2."}, "--key-file", file, "drain", "node-2")
		s.Wait(2)
		kim.tells(t, []string{"nodes      2, of which 0"}, "--key-file", file, "status")
		kim.fails(t, opctl.ExitFault, []string{"no node and no runner has the name node-2"}, "--key-file", file, "drain", "node-2")
		s.Net.Kill("10.0.9.9")
		cancel()
		for i := range 2 {
			s.Wait(i)
		}
		time.Sleep(time.Minute) // lets connections and timers end
	})
}
