package catlog_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"damaskreach/internal/adapt"
	"damaskreach/internal/catlog"
	"damaskreach/internal/rows"
	"damaskreach/internal/runner"
)

func encode(t testing.TB, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func adapter(t testing.TB, name string, share int, rev int64) rows.Row {
	t.Helper()
	value := adapt.Adapter{Name: name, Tenant: "roads", Group: "assist", Versions: map[string]int{"v1": share}}
	return rows.Row{Key: catlog.Key(catlog.KindAdapter, name), Value: encode(t, value), Rev: rev}
}

func share(c catlog.Catalog, name string) int {
	row, _ := c.Adapter(name)
	return row.Versions["v1"]
}

// A replica that lags, a peer that is slow or an old snapshot offers a row that was replaced since.
// Were it applied, an operator would see an accepted edit revert on some nodes.
func TestOldRevisionIsNotApplied(t *testing.T) {
	c, _ := catlog.NewCatalog().With([]rows.Row{adapter(t, "a", 90, 9)})
	c, _ = c.With([]rows.Row{adapter(t, "a", 50, 5), adapter(t, "a", 91, 9)})
	if got, want := share(c, "a"), 90; got != want {
		t.Errorf("share after old rows = %d, want %d", got, want)
	}
	c, _ = c.With([]rows.Row{{Key: "conf/adapter/a", Rev: 12, Gone: true}})
	c, _ = c.With([]rows.Row{adapter(t, "a", 90, 9)})
	if _, ok := c.Adapter("a"); ok {
		t.Error("a deleted adapter came back with its old row")
	}
	c, _ = c.With([]rows.Row{adapter(t, "a", 20, 13)})
	if got, want := share(c, "a"), 20; got != want {
		t.Errorf("share after the row was made anew = %d, want %d", got, want)
	}
}

// An operator's script writes a row past the checks of damaskctl, and the row cannot be used.
// Callers of the adapter must go on being served by the last good row, and operators must see why.
func TestRejectedRowKeepsTheLastGoodOne(t *testing.T) {
	c, errs := catlog.NewCatalog().With([]rows.Row{adapter(t, "a", 90, 1), adapter(t, "a", -1, 2)})
	if got, want := share(c, "a"), 90; got != want {
		t.Errorf("share = %d, want %d", got, want)
	}
	if got, want := len(errs), 1; got != want {
		t.Fatalf("errors = %v, want %d", errs, want)
	}
	want := `conf/adapter/a: revision 2: versions: share -1 of "v1" is out of range: 0 to 1000000; versions: no version has a share above 0`
	if got := c.Rejected()[0].Error(); got != want {
		t.Errorf("Rejected() = %s, want %s", got, want)
	}
	fresh, _ := catlog.NewCatalog().WithWhole(c.Rows(), 2)
	if got, want := fresh.Rejected(), c.Rejected(); !reflect.DeepEqual(got, want) || share(fresh, "a") != 90 {
		t.Errorf("after a snapshot Rejected() = %v, want %v; share %d, want 90", got, want, share(fresh, "a"))
	}
	c, _ = c.With([]rows.Row{adapter(t, "a", 30, 3)})
	if got := c.Rejected(); len(got) > 0 || share(c, "a") != 30 {
		t.Errorf("after a good row Rejected() = %v and share %d, want none and 30", got, share(c, "a"))
	}
}

// A peer pushes revision 12 before the node has read 11 from the tail.
// Were the tail read from 12 on, the node would lack an accepted change for good.
func TestPushedRowDoesNotHideTheTail(t *testing.T) {
	c, _ := catlog.NewCatalog().WithTail([]rows.Row{adapter(t, "a", 1, 10)}, 0, 10)
	c, _ = c.With([]rows.Row{adapter(t, "b", 2, 12)})
	if c.Complete() != 10 || c.Rev() != 12 {
		t.Fatalf("Complete, Rev = %d, %d, want 10, 12", c.Complete(), c.Rev())
	}
	c, _ = c.WithTail(nil, 11, 12)
	if got, want := c.Complete(), int64(10); got != want {
		t.Errorf("Complete() after a tail with a hole before it = %d, want %d", got, want)
	}
	c, _ = c.WithTail([]rows.Row{adapter(t, "a", 3, 11), adapter(t, "b", 2, 12)}, 10, 12)
	if share(c, "a") != 3 || c.Complete() != 12 {
		t.Errorf("share, Complete() = %d, %d, want 3, 12", share(c, "a"), c.Complete())
	}
}

// The node was cut off while rows were deleted, and reads a whole listing when it is back.
// A row that the listing lacks must go, and an older listing must not bring it back.
func TestWholeListingDeletesWhatItLacks(t *testing.T) {
	old := []rows.Row{adapter(t, "a", 1, 1), adapter(t, "b", 1, 2)}
	c, _ := catlog.NewCatalog().WithWhole(old, 2)
	c, _ = c.WithWhole([]rows.Row{adapter(t, "b", 1, 2)}, 5)
	c, _ = c.WithWhole(old, 2)
	if got, want := fmt.Sprint(c.Adapters()), "[b]"; got != want {
		t.Errorf("Adapters() = %s, want %s", got, want)
	}
}

func TestRunnersFollowTheirGroup(t *testing.T) {
	row := func(name, group string, rev int64) rows.Row {
		value := runner.Runner{Name: name, Group: group, Addr: "10.0.0.1:80", Centre: "hall-marcus", Batch: 8}
		return rows.Row{Key: catlog.Key(catlog.KindRunner, name), Value: encode(t, value), Rev: rev}
	}
	c, errs := catlog.NewCatalog().With([]rows.Row{row("r2", "x", 1), row("r1", "x", 2), row("r3", "y", 3)})
	c, _ = c.With([]rows.Row{row("r2", "y", 4), {Key: "conf/runner/r3", Rev: 5, Gone: true}})
	names := func(list []runner.Runner) (out []string) {
		for _, r := range list {
			out = append(out, r.Name)
		}
		return out
	}
	got := fmt.Sprint(names(c.Runners("x")), names(c.Runners("y")), names(c.AllRunners()), errs)
	if want := "[r1] [r2] [r1 r2] []"; got != want {
		t.Errorf("runners = %s, want %s", got, want)
	}
}

func TestPinnedAdaptersAreListedByGroup(t *testing.T) {
	row := func(name, group string, pinned bool, rev int64) rows.Row {
		value := adapt.Adapter{Name: name, Tenant: "t", Group: group, Versions: map[string]int{"v1": 1}, Pinned: pinned}
		return rows.Row{Key: catlog.Key(catlog.KindAdapter, name), Value: encode(t, value), Rev: rev}
	}
	c, _ := catlog.NewCatalog().With([]rows.Row{row("c", "x", true, 1), row("a", "x", true, 2), row("b", "y", true, 3), row("d", "x", false, 4), row("e", "x", true, 5)})
	c, _ = c.With([]rows.Row{row("a", "x", false, 6), row("b", "x", true, 7), {Key: "conf/adapter/e", Rev: 8, Gone: true}})
	var got []string
	for _, a := range c.Pinned("x") {
		got = append(got, a.Name)
	}
	if want := []string{"b", "c"}; !slices.Equal(got, want) || len(c.Pinned("y")) > 0 {
		t.Errorf("pinned in x = %v, in y = %v, want %v and none", got, c.Pinned("y"), want)
	}
}

// The tail, peers and a snapshot bring the same rows to different nodes in different orders, some of them bad,
// some of them deletions. Nodes that ended up with different rows in force would treat one caller differently.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(p *rapid.T) {
		var all []rows.Row
		for rev := range rapid.Int64Range(1, 12).Draw(p, "count") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(p, "name")
			row := adapter(t, name, rapid.SampledFrom([]int{-1, 7, 8}).Draw(p, "share"), rev+1)
			if rapid.Bool().Draw(p, "gone") {
				row = row.WithGone()
			}
			all = append(all, row)
		}
		want, _ := catlog.NewCatalog().With(all)
		got := catlog.NewCatalog()
		for _, row := range rapid.Permutation(all).Draw(p, "order") {
			got, _ = got.With([]rows.Row{row})
		}
		if !reflect.DeepEqual(got.Rows(), want.Rows()) || !reflect.DeepEqual(got.Rejected(), want.Rejected()) {
			p.Errorf("rows = %v, rejected = %v, want %v, %v", got.Rows(), got.Rejected(), want.Rows(), want.Rejected())
		}
		again, _ := catlog.NewCatalog().With(want.Rows())
		if !reflect.DeepEqual(again.Rows(), want.Rows()) {
			p.Errorf("rows of a snapshot = %v, want %v", again.Rows(), want.Rows())
		}
	})
}

// A later release or a slip puts rows of an unknown kind into the table, or a key without a name.
// The node must say so and go on.
func TestUnknownKindsAreRejected(t *testing.T) {
	c := catlog.NewCatalog()
	for i, key := range []string{"conf/adaptor/a", "conf/", "conf/adapter", "conf/tune/x", "other"} {
		c, _ = c.With([]rows.Row{{Key: key, Value: []byte("{}"), Rev: int64(i + 1)}, {Key: key + "/gone", Rev: 9, Gone: true}})
	}
	if got, want := len(c.Rejected()), 5; got != want {
		t.Errorf("rejected rows = %v, want %d", c.Rejected(), want)
	}
}

func FuzzWith(f *testing.F) {
	f.Add("conf/adapter/a", []byte(`{"name":"a","stamp":{"by":"x"}}`))
	f.Add("conf/tune", []byte(`{"stall":0.3}`))
	f.Add("conf/runner/r", []byte(`{"name":"r","group":"g","addr":"10.0.0.1:80","centre":"c","batch":1}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		c, errs := catlog.NewCatalog().With([]rows.Row{{Key: key, Value: value, Rev: 1}})
		if got, want := len(c.Rejected()), len(errs); got != want {
			t.Errorf("Rejected() = %v, want the %d errors %v", c.Rejected(), want, errs)
		}
		again, _ := catlog.NewCatalog().WithWhole(c.Rows(), 1)
		if got, want := again.Rows(), c.Rows(); !reflect.DeepEqual(got, want) {
			t.Errorf("rows of a snapshot = %v, want %v", got, want)
		}
	})
}
