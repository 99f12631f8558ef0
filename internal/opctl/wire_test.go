package opctl_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/opctl"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/table"
)

// The table is reached over HTTP, on two addresses of which one is cut off, and loses an answer.
// What reaches the operator must be the same as in process.
func TestApplyOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const own, dead, live = "10.0.0.99", "10.0.1.1", "10.0.1.2"
		network := memnet.NewNet(1)
		db := rowdb.NewDB()
		listener, err := network.Listen(live + ":5000")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: db.Handler()}
		go server.Serve(listener)
		t.Cleanup(func() { server.Close() })
		network.Cut(own, dead)

		kim, amina := newOperator(t, "kim", db), newOperator(t, "amina", db)
		for _, o := range []operator{kim, amina} {
			o.tool.Table = func([]string) table.Table {
				return table.NewTable([]string{dead + ":5000", live + ":5000"}, network.Dial(own))
			}
		}
		kim.put(t, files)
		db.LoseAnswers(1)
		kim.must(t, "apply", kim.dir)
		amina.must(t, "get", amina.dir)
		kim.must(t, "set-weights", "a", "v1=1")
		amina.replace(t, "adapters.csv", "v1:100", "v1:99")
		conflict := "adapter/a: conflict: you changed it, and kim changed it at revision 2"
		amina.fails(t, opctl.ExitFault, []string{conflict}, "apply", amina.dir)
		db.SetDown(true)
		started := time.Now()
		amina.fails(t, opctl.ExitFault, []string{"reading the configuration"}, "--within", "10s", "diff", amina.dir)
		if took := time.Since(started); took > 11*time.Second {
			t.Errorf("diff gave up after %v, want about 10s", took)
		}
		time.Sleep(2 * time.Second) // dials of the dead address end
		network.Kill(own)
	})
}
