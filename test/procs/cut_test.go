package procs_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"damaskreach/internal/rows"
	"damaskreach/internal/stand/site"
)

// apply adds an adapter to the table.
func (f *fleet) apply(n int) {
	f.t.Helper()
	s := site.NewSite(1, 0)
	row := site.Row("adapter", site.AdapterName(n), s.Adapter(site.AdapterName(n)))
	if _, err := f.table.Write(context.Background(), row); err != nil {
		f.t.Fatalf("writing an adapter: %v", err)
	}
}

// One node loses its connection to the table service and reaches everything else. The others must take over its runner, and its callers must still be
// served, also on an adapter that was added meanwhile. After the cut it must own its share of the runners again.
func TestNodeCutOffFromTheTable(t *testing.T) {
	f := newFleet(t)
	at := f.net + "150:7000"
	way := newForwarder(t, at, f.net+"100:7000")
	f.tables = map[int]string{1: at}
	for i := range nodes {
		f.startNode(i)
	}
	f.await("every node owns one runner", func() bool {
		return len(f.owned(0)) == 1 && len(f.owned(1)) == 1 && len(f.owned(2)) == 1
	})

	way.cut()
	f.await("the other nodes own all runners", func() bool { return len(f.owned(0))+len(f.owned(2)) == 3 })
	f.apply(100)
	f.await("the node cut off answers for a new adapter", func() bool { return f.ask(1, 100) == "" })
	f.serves(1)

	way.open(t, at)
	f.await("the node takes its share again", func() bool { return len(f.owned(1)) == 1 })
	f.serves(1)
}

// The table service is down for longer than a lease. Callers of every node must be served meanwhile and an edit must be refused; after the outage an
// edit must come into force everywhere.
func TestTableDownOverProcesses(t *testing.T) {
	f := newFleet(t)
	for i := range nodes {
		f.startNode(i)
	}
	f.await("every node owns one runner", func() bool {
		return len(f.owned(0)) == 1 && len(f.owned(1)) == 1 && len(f.owned(2)) == 1
	})
	f.serves(0)

	f.tableFault("down?on=true")
	row := rows.Row{Key: "conf/adapter/never", Value: []byte("{}")}
	if _, err := f.table.Write(context.Background(), row); err == nil {
		t.Error("got an edit accepted by a table that is down, want an error")
	}
	for range 3 {
		for i := range nodes {
			f.serves(i)
		}
	}
	f.tableFault("down?on=false")
	f.apply(101)
	f.await("all nodes answer for a new adapter", func() bool {
		return f.ask(0, 101) == "" && f.ask(1, 101) == "" && f.ask(2, 101) == ""
	})
}

// tableFault sets a fault of the table service.
func (f *fleet) tableFault(fault string) {
	f.t.Helper()
	res, err := http.Post(fmt.Sprintf("http://%s100:7000/admin/%s", f.net, fault), "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		f.t.Fatalf("setting the table's fault %s: got status %d, want success", fault, res.StatusCode)
	}
}
