package procs_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"

	"damaskreach/internal/opctl"
	"damaskreach/internal/rows"
	"damaskreach/internal/stamp"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/table"
)

const racers = 8

// operator is an operator with a folder of files who runs damaskctl.
type operator struct {
	f         *fleet
	name, dir string
	rows      []int // adapters edited since the last get
	code      int   // exit code of the last command, and what it said
	text      string
}

// run runs damaskctl in a process.
func (o *operator) run(args ...string) {
	all := append([]string{"--config", filepath.Join(o.f.dir, "node-2.toml"), "--by", o.name, "--wait", "1m"}, args...)
	cmd := exec.Command(filepath.Join(o.f.dir, "damaskctl"), all...)
	text, _ := cmd.CombinedOutput()
	o.code, o.text = cmd.ProcessState.ExitCode(), string(text)
}

// edit reads the table into the operator's files and changes the version of some adapters to the operator's own.
func (o *operator) edit(version string, adapters ...int) {
	o.f.t.Helper()
	o.run("get", "--overwrite", o.dir)
	path := filepath.Join(o.dir, "adapters.csv")
	sheet, err := os.ReadFile(path)
	if err != nil || o.code != opctl.ExitOK {
		o.f.t.Fatalf("%s: get ends with %d: %s, %v", o.name, o.code, o.text, err)
	}
	o.rows = adapters
	for _, n := range adapters {
		cells := regexp.MustCompile("(?m)^(" + site.AdapterName(n) + ",[^,]*,[^,]*,)[^,]*") // name, tenant, group, versions
		sheet = cells.ReplaceAll(sheet, []byte("${1}"+version+o.name+":1"))
	}
	if err := os.WriteFile(path, sheet, 0o600); err != nil {
		o.f.t.Fatal(err)
	}
}

// settled checks that each of the operator's edits is in the table, unless the operator was told that it is not.
func (o *operator) settled(held map[int]rows.Row) {
	o.f.t.Helper()
	refused := 0
	for _, n := range o.rows {
		by := stamp.Of(held[n].Value).By
		row := "adapter/" + site.AdapterName(n) + ": "
		why := fmt.Sprintf("%s changed it at revision %d", by, held[n].Rev)
		told := strings.Contains(o.text, row+"not applied: "+why) || strings.Contains(o.text, row+"conflict: you changed it, and "+why)
		told = told || !strings.Contains(o.text, row) && strings.Contains(o.text, "nothing was written")
		if told {
			refused++
		}
		if told == (by == o.name) {
			o.f.t.Errorf("%s edited %s, which is by %s in the table, and was told of a refusal: got %v\n%s", o.name, site.AdapterName(n), by, told, o.text)
		}
	}
	if want := map[bool]int{false: opctl.ExitOK, true: opctl.ExitFault}[refused > 0]; o.code != want {
		o.f.t.Errorf("%s: got exit code %d with %d edits refused, want %d\n%s", o.name, o.code, refused, want, o.text)
	}
}

// race has all operators apply their edits at the same time and returns the resulting rows of the table.
func (f *fleet) race(operators []*operator) map[int]rows.Row {
	f.t.Helper()
	f.tableFault("slow?by=400ms") // so that most have read the table before the first one writes
	f.tableFault("lose?count=6")
	var all sync.WaitGroup
	for _, o := range operators {
		all.Go(func() { o.run("apply", o.dir) })
	}
	all.Wait()
	f.tableFault("slow?by=0s")
	held := map[int]rows.Row{}
	for _, row := range f.rows(table.PrefixConf + "adapter/") {
		var n int
		if _, err := fmt.Sscanf(row.Key, table.PrefixConf+"adapter/adapter-%d", &n); err != nil {
			f.t.Fatalf("reading key %s: %v", row.Key, err)
		}
		held[n] = row
	}
	return held
}

// Eight operators edit one row, rows that two of them share and rows of their own, and start damaskctl at the same moment; answers of the table service
// get lost. No operator may be told that an edit was applied while another one is in force, and no node may keep an earlier row.
func TestOperatorsRace(t *testing.T) {
	f := newFleet(t)
	for i := range nodes {
		f.startNode(i)
	}
	f.await("every node owns one runner", f.shared)
	operators := make([]*operator, racers)
	for i := range operators {
		operators[i] = &operator{f: f, name: fmt.Sprint("op", i), dir: filepath.Join(f.dir, fmt.Sprint("op", i))}
		operators[i].edit("by-", 0, 1+i%4, 5+i)
	}
	held := f.race(operators)
	for _, o := range operators {
		o.settled(held)
	}
	f.inForce(held, "by-", 0, 5+racers)
	winner := stamp.Of(held[0].Value).By
	late := operators[slices.IndexFunc(operators, func(o *operator) bool { return o.name != winner })]
	late.run("apply", late.dir)
	want := "adapter-0: conflict: you changed it, and " + winner + " changed it"
	if late.code != opctl.ExitFault || !strings.Contains(late.text, want) || !strings.Contains(late.text, "nothing was written") {
		t.Errorf("%s applies its files again: got exit code %d, want 1 and %q\n%s", late.name, late.code, want, late.text)
	}

	for i, o := range operators {
		o.edit("again-by-", 5+i)
	}
	held = f.race(operators)
	for i, o := range operators {
		if o.settled(held); o.code != opctl.ExitOK || stamp.Of(held[5+i].Value).By != o.name {
			t.Errorf("%s edited a row alone: got exit code %d, want 0\n%s", o.name, o.code, o.text)
		}
	}
	f.inForce(held, "again-by-", 5, 5+racers)
}

// inForce waits until every node serves the versions of adapters that are in the table.
func (f *fleet) inForce(held map[int]rows.Row, version string, from, to int) {
	f.t.Helper()
	for n := from; n < to; n++ {
		name := site.AdapterName(n)
		want := name + "@" + version + stamp.Of(held[n].Value).By
		for i := range nodes {
			f.await(fmt.Sprintf("node %d serves %s", i, want), func() bool { return f.askModel(i, name, want) == "" })
		}
	}
}
