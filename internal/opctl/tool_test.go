package opctl_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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
	"damaskreach/internal/table"
)

// files is a small declaration.
var files = map[string]string{
	"groups.csv":   "name,base\nassist,llama\n",
	"tenants.csv":  "name,weight\nroads,1\n",
	"runners.csv":  "name,group,addr,centre,slots,batch\nr1,assist,10.0.0.1:80,hall-marcus,4,16\nr2,assist,10.0.0.2:80,hall-marcus,4,16\n",
	"adapters.csv": "name,tenant,group,versions\na,roads,assist,v1:100\nb,roads,assist,v1:100\n",
}

// operator is one person with a folder and the tool.
type operator struct {
	name string
	dir  string
	tool *opctl.Tool
	out  *bytes.Buffer
}

func newOperator(t testing.TB, name string, db *rowdb.DB) operator {
	t.Helper()
	out := new(bytes.Buffer)
	o := operator{name: name, dir: filepath.Join(t.TempDir(), "site"), out: out, tool: opctl.NewTool(out, out)}
	edits := 0
	o.tool.Edit = func() string {
		edits++
		return fmt.Sprint(name, edits)
	}
	o.tool.Table = func([]string) table.Table { return db.TableFor(name) }
	o.tool.Dial = func(context.Context, string) (net.Conn, error) { return nil, errors.New("no network") }
	return o
}

// run runs one command and returns its output and exit code.
func (o operator) run(t testing.TB, args ...string) (string, int) {
	o.out.Reset()
	code := o.tool.Run(t.Context(), append([]string{"--table", "t", "--by", o.name}, args...))
	return o.out.String(), code
}

// must runs a command that must succeed and returns its output.
func (o operator) must(t testing.TB, args ...string) string {
	t.Helper()
	text, code := o.run(t, args...)
	if code != opctl.ExitOK {
		t.Errorf("%s: %s = exit %d, want 0:\n%s", o.name, args, code, text)
	}
	return text
}

// fails runs a command that must end with a code and say each of the texts.
func (o operator) fails(t testing.TB, code int, texts []string, args ...string) {
	t.Helper()
	text, got := o.run(t, args...)
	if got != code {
		t.Errorf("%s: %s = exit %d, want %d:\n%s", o.name, args, got, code, text)
	}
	for _, want := range texts {
		if !strings.Contains(text, want) {
			t.Errorf("%s: %s says\n%s\nwant %q in it", o.name, args, text, want)
		}
	}
}

func (o operator) put(t testing.TB, all map[string]string) {
	t.Helper()
	if err := os.MkdirAll(o.dir, 0o755); err != nil {
		t.Fatal(err)
	}
	for name, text := range all {
		if err := os.WriteFile(filepath.Join(o.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func (o operator) replace(t testing.TB, name, old, now string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(o.dir, name))
	if err != nil || !strings.Contains(string(data), old) {
		t.Fatalf("%s holds %q, %v, want %q in it", name, data, err, old)
	}
	o.put(t, map[string]string{name: strings.ReplaceAll(string(data), old, now)})
}

// start returns a table with the small declaration in it and the operator who applied it.
func start(t testing.TB) (*rowdb.DB, operator) {
	t.Helper()
	db := rowdb.NewDB()
	o := newOperator(t, "kim", db)
	o.put(t, files)
	o.must(t, "apply", o.dir)
	return db, o
}

func TestDiffApplyGet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db, kim := start(t)
		kim.replace(t, "adapters.csv", "b,roads,assist,v1:100\n", "c,roads,assist,v2:1\n")
		kim.replace(t, "adapters.csv", "v1:100", "v1:90;v2:10")
		want := "- adapter/b (group assist: 2 runners, r1, r2)\n" +
			"~ adapter/a versions=v1:100->v1:90;v2:10 (group assist: 2 runners, r1, r2)\n" +
			"+ adapter/c group=assist tenant=roads versions=v2:1 (group assist: 2 runners, r1, r2)\n3 rows to write\n"
		if got := kim.must(t, "diff", kim.dir); got != want {
			t.Errorf("diff =\n%s\nwant\n%s", got, want)
		}
		kim.must(t, "apply", kim.dir)
		if got, want := kim.must(t, "diff", kim.dir), "0 rows to write\n"; got != want {
			t.Errorf("diff after apply = %q, want %q", got, want)
		}
		amina := newOperator(t, "amina", db)
		amina.must(t, "get", amina.dir)
		if got, want := amina.must(t, "diff", amina.dir), "0 rows to write\n"; got != want {
			t.Errorf("diff after get = %q, want %q", got, want)
		}
	})
}

// A file has a fault. Not one row may be written, also none of those that are right.
func TestApplyChecksBeforeItWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db, kim := start(t)
		before := db.Rev()
		kim.replace(t, "adapters.csv", "v1:100", "v1:90")
		kim.replace(t, "tenants.csv", "roads,1", "roads,one")
		kim.fails(t, opctl.ExitFault, []string{`tenants.csv:2: tenant/roads.weight: "one" is no whole number`}, "apply", kim.dir)
		if got := db.Rev(); got != before {
			t.Errorf("revision = %d, want %d", got, before)
		}
	})
}

// Two operators change one row; the second began from what the first has replaced since.
// The second must be told who was first, and its edit must not go over the first one's.
func TestConflictIsNamedAndResolvedByGet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db, kim := start(t)
		amina := newOperator(t, "amina", db)
		amina.must(t, "get", amina.dir)
		kim.replace(t, "adapters.csv", "a,roads,assist,v1:100", "a,roads,assist,v1:50;v2:50")
		kim.must(t, "apply", kim.dir)
		amina.replace(t, "adapters.csv", "a,roads,assist,v1:100", "a,roads,assist,v3:1")
		conflict := "adapter/a: conflict: you changed it, and kim changed it at revision 2"
		amina.fails(t, opctl.ExitFault, []string{conflict, "nothing was written"}, "apply", amina.dir)
		amina.fails(t, opctl.ExitFault, []string{"not written: the files hold edits that were not applied: adapter/a"}, "get", amina.dir)
		amina.must(t, "get", amina.dir, "adapter/a")
		amina.replace(t, "adapters.csv", "v1:50;v2:50", "v3:1")
		amina.must(t, "apply", amina.dir)
	})
}

// Another operator changed a row that this one never touched. An apply of other rows must not set it back,
// which is what writing the whole folder would do.
func TestRowsChangedByOthersAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db, kim := start(t)
		amina := newOperator(t, "amina", db)
		amina.must(t, "get", amina.dir)
		amina.must(t, "set-weights", "a", "v7=1")
		amina.must(t, "remove", "runner/r2")
		kim.replace(t, "adapters.csv", "b,roads,assist,v1:100", "b,roads,assist,v1:5")
		want := "2 rows changed by others and not by you, left as in the table: adapter/a, runner/r2"
		if got := kim.must(t, "apply", kim.dir); !strings.Contains(got, want) {
			t.Errorf("apply says %q, want %q in it", got, want)
		}
		got := kim.must(t, "get", kim.dir) + kim.must(t, "diff", kim.dir)
		if want := "5 rows of revision 4\n0 rows to write\n"; !strings.HasSuffix(got, want) {
			t.Errorf("get and diff say %q, want %q at the end", got, want)
		}
		kim.replace(t, "adapters.csv", "v7:1", "v7:2") // it took over the other's edit
	})
}

// A replica that lags answers the listing. The operator's own last edit seems undone there,
// and must not be reported as another's edit.
func TestLaggingListingIsNotTakenForEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db, kim := start(t)
		time.Sleep(time.Minute)
		kim.replace(t, "adapters.csv", "a,roads,assist,v1:100", "a,roads,assist,v1:99")
		kim.must(t, "apply", kim.dir)
		db.SetLag(5*time.Second, 1)
		kim.replace(t, "adapters.csv", "v1:99", "v1:98")
		kim.must(t, "apply", kim.dir)
	})
}

// One operator removes a group while another adds an adapter to it. Each folder is right by itself;
// written both, the adapter could not be served by anything.
func TestApplyLeavesNoNameWithoutItsRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db, kim := start(t)
		kim.replace(t, "groups.csv", "assist,llama\n", "assist,llama\nspare,llama\n")
		kim.must(t, "apply", kim.dir)
		amina := newOperator(t, "amina", db)
		amina.must(t, "get", amina.dir)
		amina.put(t, map[string]string{"groups.csv": files["groups.csv"]})
		amina.must(t, "apply", amina.dir)
		kim.replace(t, "adapters.csv", "a,roads,assist", "a,roads,spare")
		kim.fails(t, opctl.ExitFault, []string{"adapter/a: it names conf/group/spare, which would not be there"}, "apply", kim.dir)
	})
}

// A file is lost from the folder, and what is left is right by itself. It reads like the removal of every adapter.
// Nothing may be removed unless the operator says that it is meant.
func TestApplyDoesNotRemoveManyRowsUnasked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, kim := start(t)
		sheet := "name,tenant,group,versions\n"
		for i := range 30 {
			sheet += fmt.Sprintf("x%d,roads,assist,v1:1\n", i)
		}
		kim.put(t, map[string]string{"adapters.csv": sheet})
		kim.must(t, "apply", kim.dir)
		if err := os.Remove(filepath.Join(kim.dir, "adapters.csv")); err != nil {
			t.Fatal(err)
		}
		kim.fails(t, opctl.ExitFault, []string{"30 rows of 34 would be removed", "nothing was written"}, "apply", kim.dir)
		kim.must(t, "apply", "--remove-many", kim.dir)
	})
}

// The answer to the write of a whole batch is lost. The rows are in the table, and the operator must hear so.
func TestApplyWithALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db, kim := start(t)
		kim.replace(t, "adapters.csv", "v1:100", "v1:90;v2:10")
		db.LoseAnswers(1)
		if got, want := kim.must(t, "apply", kim.dir), "applied 2 of 2 rows"; !strings.Contains(got, want) {
			t.Errorf("apply says %q, want %q in it", got, want)
		}
		if got, want := db.Rev(), int64(2); got != want {
			t.Errorf("revision = %d, want %d", got, want)
		}
	})
}

func TestCanaryAndRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, kim := start(t)
		kim.must(t, "set-weights", "a", "v1=90", "v2=10")
		if got, want := kim.must(t, "rollback", "a"), "versions=v1:90;v2:10->v1:100"; !strings.Contains(got, want) {
			t.Errorf("rollback says %q, want %q in it", got, want)
		}
		kim.fails(t, opctl.ExitFault, []string{"no former shares"}, "rollback", "b")
		kim.fails(t, opctl.ExitFault, []string{"no version has a share above 0"}, "set-weights", "a", "v1=0")
		kim.must(t, "remove", "adapter/b")
		kim.fails(t, opctl.ExitFault, []string{"no such row"}, "remove", "adapter/b")
	})
}

// One of three nodes follows the table no longer, and another cannot be reached.
// The operator must hear on how many nodes the change is in force, and which ones lag.
func TestApplyNamesTheNodesThatLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db, kim := start(t)
		network := memnet.NewNet(1)
		kim.tool.Dial = network.Dial("10.0.0.99")
		for i, complete := range []string{"1000", "1"} {
			addr := fmt.Sprintf("10.0.0.%d:9000", i+1)
			node(t, network, addr, `{"complete":`+complete+`,"rejected":["conf/adapter/a: revision 5: x"]}`)
		}
		for i := range 3 {
			s := sess.Session{Node: fmt.Sprint("n", i+1), Epoch: "e", Site: "s", Admin: fmt.Sprintf("10.0.0.%d:9000", i+1)}
			if _, err := db.Table().Write(t.Context(), rows.Row{Key: s.Key(), Value: s.Encode()}); err != nil {
				t.Fatal(err)
			}
		}
		kim.replace(t, "adapters.csv", "a,roads,assist,v1:100", "a,roads,assist,v1:99")
		kim.fails(t, opctl.ExitLag, []string{
			"applied 1 of 1 row",
			"revision 5 in force on 1 of 3 nodes",
			"lags: node n2.e has revision 1 in force",
			"lags: node n3.e does not answer",
			"rejected by nodes, which keep the last good row: conf/adapter/a: revision 5: x",
		}, "--wait", "5s", "apply", kim.dir)
		network.Kill("10.0.0.99")
	})
}

// node serves one answer to GET /status.
func node(t *testing.T, network *memnet.Net, addr, answer string) {
	t.Helper()
	listener, err := network.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, answer) })
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
}

// tells runs a command that must succeed and say each of the texts.
func (o operator) tells(t testing.TB, texts []string, args ...string) {
	t.Helper()
	o.fails(t, opctl.ExitOK, texts, args...)
}
