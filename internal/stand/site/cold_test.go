//go:build !race

package site_test

import (
	"testing"
	"time"

	"damaskreach/internal/stand/site"
)

// cold starts node 3 afresh and returns the revision it has in force a little later.
func (w *world) cold(seeds ...string) int64 {
	w.Conf.Seeds = seeds
	w.start(3)
	w.pass(site.ForceGrace)
	return w.Node(3).Catalog().Complete()
}

// A node starts while the table is up, slow or down, and with the object store down too. Without a configuration it
// would refuse every caller as unknown. With everything of the platform down it asks the nodes it is told of; without
// any it has nothing to ask and waits.
func TestColdStart(t *testing.T) {
	seed := site.Host(0) + ":7000"
	tests := []struct {
		name  string
		fault func(w *world)
		seeds []string
		want  bool
	}{
		{"platform up", func(*world) {}, nil, true},
		{"table slow", func(w *world) { w.DB.SetSlow(2 * time.Second) }, nil, true},
		{"table down", func(w *world) { w.DB.SetDown(true) }, nil, true},
		{"object store down", func(w *world) { w.Objects.SetDown(true) }, nil, true},
		{"platform down", func(w *world) { w.DB.SetDown(true); w.Objects.SetDown(true) }, []string{seed}, true},
		{"platform down and no seeds", func(w *world) { w.DB.SetDown(true); w.Objects.SetDown(true) }, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			play(t, 3, 1, true, func(w *world) {
				w.pass(2 * time.Minute) // a snapshot is written by then
				want := w.Node(0).Catalog()
				test.fault(w)
				got := w.cold(test.seeds...)
				if has := got > 0 && len(w.Node(3).Catalog().Rows()) == len(want.Rows()); has != test.want {
					t.Errorf("got revision %d with %d rows, want a configuration: %v", got, len(w.Node(3).Catalog().Rows()), test.want)
				}
				w.KillNode(3)
			})
		})
	}
}

// The snapshot in the object store is older than a change, and a lagging replica is read first. A node that took them
// for the present state would go back behind what it had in force.
func TestOldSnapshotIsNeverPutInForce(t *testing.T) {
	play(t, 3, 1, true, func(w *world) {
		w.pass(2 * time.Minute)
		w.Objects.SetDown(true) // the snapshot stays as it is
		rev, err := w.Apply(w.ctx, site.Row("adapter", "newer", w.Adapter("newer")))
		if err != nil {
			t.Fatal(err)
		}
		w.Objects.SetDown(false)
		if got := w.cold(); got < rev {
			t.Errorf("got revision %d in force after a start from an old snapshot, want %d", got, rev)
		}
		w.DB.SetLag(time.Minute, 1)
		w.pass(quiet)
		if _, known := w.Node(3).Catalog().Adapter("newer"); !known {
			t.Error("got no row of the newer revision, want it to stay in force")
		}
		w.KillNode(3)
	})
}

// A node that starts gets an edit from its peers before it has read the snapshot in the object store, which is older, and
// the replica it reads next has not got the edit either. Were the snapshot's row put in force over the edit, callers would
// be refused a version that operators were told is there.
func TestOldSnapshotDoesNotUndoAPush(t *testing.T) {
	play(t, 3, 1, true, func(w *world) {
		w.pass(2 * time.Minute)
		key := site.Row("adapter", site.AdapterName(0), nil).Key
		old, err := w.DB.Table().Read(w.ctx, key)
		if err != nil {
			t.Fatal(err)
		}
		w.Objects.SetSlow(4500 * time.Millisecond)
		w.start(3)
		w.pass(3500 * time.Millisecond) // its peers know of it by now
		edited := w.Adapter(site.AdapterName(0))
		edited.Versions = map[string]int{"v2": 1}
		row := site.Row("adapter", site.AdapterName(0), edited)
		row.Rev = old.Rev
		if _, err := w.Apply(w.ctx, row); err != nil {
			t.Fatal(err)
		}
		w.await(w.forced(0, "v2"))
		w.partAll(4)
		w.DB.SetLag(time.Minute, 1)
		w.await(w.forced(3, "v2"))
		w.pass(5 * time.Second) // the snapshot has come
		if _, known := w.Node(3).Catalog().Adapter(site.AdapterName(1)); !known {
			t.Error("got no row of the snapshot, want it in force")
		}
		if a, _ := w.Node(3).Catalog().Adapter(site.AdapterName(0)); a.Versions["v2"] != 1 {
			t.Errorf("got versions %v in force after the snapshot, want v2", a.Versions)
		}
		w.DB.SetLag(0, 1)
		w.joinAll(4)
		w.pass(quiet)
		w.KillNode(3)
	})
}

// forced returns a channel that is closed once a node has a version of the first adapter in force.
func (w *world) forced(i int, version string) <-chan struct{} {
	seen := make(chan struct{})
	go func() {
		for w.ctx.Err() == nil {
			if a, _ := w.Node(i).Catalog().Adapter(site.AdapterName(0)); a.Versions[version] > 0 {
				close(seen)
				return
			}
			w.pass(10 * time.Millisecond)
		}
	}()
	return seen
}
