package feeds_test

import (
	"fmt"
	"testing"

	"damaskreach/internal/feed"
	"damaskreach/internal/feeds"
	"damaskreach/internal/rows"
)

const prefix = "up/"

func row(key string, rev int64) rows.Row { return rows.Row{Key: prefix + key, Rev: rev} }

// forward exchanges known revisions and sends unseen changes, as the hosts' messages do.
func forward(from, to *feeds.Feeds) {
	from.Update("to", to.Known(), nil)
	to.Update("from", from.Known(), from.Unseen("to"))
}

func wantTail(t *testing.T, f *feeds.Feeds, after int64, rev int64, keys ...string) {
	t.Helper()
	list, got, ok := f.Tail(prefix, after)
	if !ok || got != rev || len(list) != len(keys) {
		t.Fatalf("Tail(%d) = %v, %d, %v, want %v up to %d", after, list, got, ok, keys, rev)
	}
	for i, k := range keys {
		if list[i].Key != prefix+k {
			t.Errorf("row %d = %q, want %q", i, list[i].Key, prefix+k)
		}
	}
}

// When an upstream leaves a site of hundreds of hosts, one host reads the store and forwards the change, instead of one call each.
func TestChangesAreForwardedOnce(t *testing.T) {
	reader, member := feeds.NewFeeds(), feeds.NewFeeds()
	reader.Keep(prefix, feed.Whole, 10, nil)
	member.Keep(prefix, feed.Whole, 8, nil)
	reader.Keep(prefix, 10, 12, []rows.Row{row("a", 11)})
	forward(reader, member)
	if _, _, ok := member.Tail(prefix, 8); ok {
		t.Error("Tail(8) = ok, though the reader began at 10 and may have missed a change at 9")
	}
	member.Keep(prefix, feed.Whole, 10, nil)
	forward(reader, member)
	wantTail(t, member, 10, 12, "a")
	member.Keep(prefix, 10, 12, []rows.Row{row("a", 11)})
	forward(reader, member)
	if _, _, ok := member.Tail(prefix, 12); ok {
		t.Error("Tail(12) = ok, want nothing new")
	}
	reader.Keep(prefix, 12, 20, []rows.Row{row("b", 15), row("a", 18)})
	forward(reader, member)
	wantTail(t, member, 12, 20, "b", "a")
}

// A relay that does not read the store forwards the changes that it received.
func TestRelayForwardsChanges(t *testing.T) {
	reader, relay, member := feeds.NewFeeds(), feeds.NewFeeds(), feeds.NewFeeds()
	for _, f := range []*feeds.Feeds{reader, relay, member} {
		f.Keep(prefix, feed.Whole, 10, nil)
	}
	reader.Keep(prefix, 10, 12, []rows.Row{row("a", 11)})
	forward(reader, relay)
	wantTail(t, relay, 10, 12, "a")
	relay.Keep(prefix, 10, 12, []rows.Row{row("a", 11)})
	forward(relay, member)
	wantTail(t, member, 10, 12, "a")
}

// The reader's history has a gap, so deletions may be missing from it. A host with an older revision must read the store itself,
// or it would use an upstream that is gone.
func TestChangesAcrossGapAreNotForwarded(t *testing.T) {
	for name, gap := range map[string]func(reader *feeds.Feeds){
		"read whole": func(r *feeds.Feeds) { r.Keep(prefix, feed.Whole, 15, []rows.Row{row("b", 14)}) },
		"one missed": func(r *feeds.Feeds) { r.Keep(prefix, 13, 15, []rows.Row{row("b", 14)}) },
	} {
		reader, member := feeds.NewFeeds(), feeds.NewFeeds()
		reader.Keep(prefix, feed.Whole, 10, nil)
		member.Keep(prefix, feed.Whole, 10, nil)
		gap(reader)
		reader.Keep(prefix, 15, 16, []rows.Row{row("c", 16)})
		forward(reader, member)
		if list, _, ok := member.Tail(prefix, 10); ok {
			t.Errorf("%s: Tail(10) = %v, want none", name, list)
		}
	}
}

// Changes arrive faster than they are forwarded. The rows kept are limited, and a host that missed some must notice.
func TestKeptChangesAreBounded(t *testing.T) {
	reader, late, member := feeds.NewFeeds(), feeds.NewFeeds(), feeds.NewFeeds()
	for _, f := range []*feeds.Feeds{reader, late, member} {
		f.Keep(prefix, feed.Whole, 1, nil)
	}
	for rev := int64(2); rev < 5000; rev++ {
		reader.Keep(prefix, rev-1, rev, []rows.Row{row(fmt.Sprint(rev), rev)})
	}
	forward(reader, late)
	if _, _, ok := late.Tail(prefix, 1); ok {
		t.Error("Tail(1) = ok, want a reading of its own after thousands of changes")
	}
	member.Keep(prefix, feed.Whole, 4990, nil)
	forward(reader, member)
	if list, rev, ok := member.Tail(prefix, 4990); !ok || rev != 4999 || len(list) != 9 {
		t.Errorf("Tail(4990) = %d rows up to %d, %v, want 9 up to 4999", len(list), rev, ok)
	}
}

// The reader reads a long list, ordered by key and not by revision, and keeps part of it. A host that has seen half of the changes
// must get all others or none: it would never get a skipped change, and would go on claiming engines that others hold.
func TestLongListIsForwardedWithoutGaps(t *testing.T) {
	const changes, stride = 3000, 7919 // the stride makes the order by key differ from the order by revision
	reader, member := feeds.NewFeeds(), feeds.NewFeeds()
	reader.Keep(prefix, feed.Whole, 10, nil)
	var list []rows.Row
	for n := range changes {
		list = append(list, row(fmt.Sprint(n), int64(11+n*stride%changes)))
	}
	reader.Keep(prefix, 10, 10+changes, list)
	for _, seen := range []int64{10 + changes/4, 10 + changes/2, 10 + changes*3/4} {
		member.Keep(prefix, feed.Whole, seen, nil)
		forward(reader, member)
		got, rev, ok := member.Tail(prefix, seen)
		if want := 10 + changes - int(seen); ok && (len(got) != want || rev != 10+changes) {
			t.Errorf("a host at %d was passed %d changes up to %d, want %d up to %d", seen, len(got), rev, want, 10+changes)
		}
	}
}

// One row changes repeatedly, as the configuration may. Only its latest version is kept and forwarded.
func TestOnlyLatestVersionOfRowIsKept(t *testing.T) {
	reader, member := feeds.NewFeeds(), feeds.NewFeeds()
	reader.Keep(prefix, feed.Whole, 1, nil)
	member.Keep(prefix, feed.Whole, 1, nil)
	for rev := int64(2); rev < 50; rev++ {
		reader.Keep(prefix, rev-1, rev, []rows.Row{row("conf", rev)})
	}
	forward(reader, member)
	wantTail(t, member, 1, 49, "conf")
}

// After the store is restored from a backup, a host that was ahead of the reader in the old era must read the store itself: it
// would keep rows that are lost.
func TestChangesAreNotForwardedIntoAnotherEra(t *testing.T) {
	reader, member := feeds.NewFeeds(), feeds.NewFeeds()
	reader.Keep(prefix, feed.Whole, 10, nil)
	member.Keep(prefix, feed.Whole, 12, nil)
	reader.Keep(prefix, 10, rows.NewRev(1, 9), []rows.Row{row("a", rows.NewRev(1, 8))})
	forward(reader, member)
	if list, _, ok := member.Tail(prefix, 12); ok {
		t.Errorf("Tail(12) = %v, want none", list)
	}
	member.Keep(prefix, 12, rows.NewRev(1, 9), nil)
	reader.Keep(prefix, rows.NewRev(1, 9), rows.NewRev(1, 10), []rows.Row{row("b", rows.NewRev(1, 10))})
	forward(reader, member)
	wantTail(t, member, rows.NewRev(1, 9), rows.NewRev(1, 10), "b")
}

// A new era brings the whole configuration. If hosts read it from the store one after the other, some would get it too late.
func TestAllRowsAreForwardedIntoAnotherEra(t *testing.T) {
	reader, relay, member := feeds.NewFeeds(), feeds.NewFeeds(), feeds.NewFeeds()
	for _, f := range []*feeds.Feeds{reader, relay, member} {
		f.Keep(prefix, feed.Whole, 10, nil)
	}
	all := []rows.Row{row("a", rows.NewRev(1, 3)), row("b", rows.NewRev(1, 8))}
	reader.Keep(prefix, feed.Start, rows.NewRev(1, 9), all)
	forward(reader, relay)
	wantTail(t, relay, 10, rows.NewRev(1, 9), "a", "b")
	relay.Keep(prefix, feed.Start, rows.NewRev(1, 9), all)
	forward(relay, member)
	wantTail(t, member, 10, rows.NewRev(1, 9), "a", "b")
	reader.Keep(prefix, rows.NewRev(1, 9), rows.NewRev(1, 12), []rows.Row{row("a", rows.NewRev(1, 12))})
	forward(reader, relay)
	wantTail(t, relay, rows.NewRev(1, 9), rows.NewRev(1, 12), "a")
}
