package opctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/opctl"
	"damaskreach/internal/rows"
	"damaskreach/internal/sess"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/rowdb"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fleet is a made-up fleet whose nodes all answer from one address.
type fleet struct {
	nodes   int
	centres int
}

func (f fleet) session(i int) sess.Session {
	return sess.Session{
		Node: fmt.Sprintf("node-%04d", i), Epoch: "e", Site: "s", Centre: fmt.Sprintf("centre-%02d", i%f.centres), State: sess.Live,
		Admin: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1),
	}
}

// answer is what node i says of itself: each 100th lags, node 5 leaves and has a runner that does not answer.
func (f fleet) answer(i int) map[string]any {
	s := f.session(i)
	complete := 12 + i%5 // the table's revision rises with every write
	if i%100 == 3 {
		complete = 1
	}
	var ill []map[string]any
	if i == 5 {
		s.State = sess.Leaving
		ill = append(ill, map[string]any{"Runner": "runner-17", "Group": "writers", "Fence": 12, "Waiting": 3, "Sick": true})
	}
	return map[string]any{
		"session": s, "complete": complete, "rejected": []string{}, "known": f.nodes * 8, "ill": ill,
		"totals":   map[string]int{"runners": 8, "slots": 64, "free": i % 7, "loading": i % 3, "running": 100 + i%50, "waiting": i % 5, "batch": 256},
		"refusals": map[string]int{"overloaded": i % 11, "deadline": 1},
	}
}

// start writes the sessions and serves all nodes but node 2, which does not answer.
func (f fleet) start(t *testing.T, network *memnet.Net, db *rowdb.DB) {
	t.Helper()
	byAddr := map[string]int{}
	var edits []rows.Row
	for i := range f.nodes {
		s := f.session(i)
		byAddr[s.Admin] = i
		edits = append(edits, rows.Row{Key: s.Key(), Value: s.Encode()})
	}
	if _, err := db.Table().Write(t.Context(), edits...); err != nil {
		t.Fatal(err)
	}
	if _, err := db.Table().Write(t.Context(), rows.Row{Key: "conf/tenant/x", Value: []byte(`{"name":"x"}`)}); err != nil {
		t.Fatal(err)
	}
	listener, err := network.Listen("10.9.9.9:9000")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		if i := byAddr[r.Host]; i != 2 {
			json.NewEncoder(w).Encode(f.answer(i))
			return
		}
		http.Error(w, "out of order", http.StatusServiceUnavailable)
	})
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
}

// An operator looks at 7 nodes or at 1,300. What is the matter must be on one screen either way.
func TestStatusIsReadableAtEverySize(t *testing.T) {
	for _, f := range []fleet{{nodes: 7, centres: 3}, {nodes: 1300, centres: 16}} {
		synctest.Test(t, func(t *testing.T) {
			network, db := memnet.NewNet(1), rowdb.NewDB()
			f.start(t, network, db)
			kim := newOperator(t, "kim", db)
			kim.tool.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
				return network.Dial("10.0.0.99")(ctx, "10.9.9.9:9000")
			}
			golden(t, fmt.Sprintf("status-%d.txt", f.nodes), kim.must(t, "status"))
			network.Kill("10.0.0.99")
		})
	}
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || got != string(want) {
		t.Errorf("%s, error %v: got\n%s\nwant\n%s", name, err, got, want)
	}
}

func TestExplainWantsToKnowWhatIsAsked(t *testing.T) {
	o := newOperator(t, "kim", rowdb.NewDB())
	o.fails(t, opctl.ExitFault, []string{"give --request, --adapter, --runner, --kind or --since"}, "explain")
}

// An operator watches the status and interrupts it.
func TestStatusWatchEndsWhenInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db, kim := start(t)
		_ = db
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		kim.out.Reset()
		if code := kim.tool.Run(ctx, []string{"--table", "t", "status", "--watch"}); code != opctl.ExitOK {
			t.Errorf("exit %d, want 0", code)
		}
		if got := strings.Count(kim.out.String(), "nodes      0"); got != 3 {
			t.Errorf("shown %d times in 5 s, want 3:\n%s", got, bytes.TrimSpace(kim.out.Bytes()))
		}
	})
}
