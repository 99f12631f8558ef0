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

// pass carries what one host has for another one, as their messages do.
func pass(from, to *feeds.Feeds) {
	from.Hear("to", to.Known(), nil)
	to.Hear("from", from.Known(), from.For("to"))
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

// An upstream leaves on a site of hundreds of hosts. Each host would make a call to the store for it; passed on, one does.
func TestChangesArePassedOnOnce(t *testing.T) {
	reader, member := feeds.NewFeeds(), feeds.NewFeeds()
	reader.Keep(prefix, feed.Whole, 10, nil)
	member.Keep(prefix, feed.Whole, 8, nil)
	reader.Keep(prefix, 10, 12, []rows.Row{row("a", 11)})
	pass(reader, member)
	if _, _, ok := member.Tail(prefix, 8); ok {
		t.Error("Tail(8) = ok, though the reader began at 10 and may have missed a change at 9")
	}
	member.Keep(prefix, feed.Whole, 10, nil)
	pass(reader, member)
	wantTail(t, member, 10, 12, "a")
	member.Keep(prefix, 10, 12, []rows.Row{row("a", 11)})
	pass(reader, member)
	if _, _, ok := member.Tail(prefix, 12); ok {
		t.Error("Tail(12) = ok, want nothing new")
	}
	reader.Keep(prefix, 12, 20, []rows.Row{row("b", 15), row("a", 18)})
	pass(reader, member)
	wantTail(t, member, 12, 20, "b", "a")
}

// A relay that does not read the store itself passes on what it was passed.
func TestChangesPassThroughARelay(t *testing.T) {
	reader, relay, member := feeds.NewFeeds(), feeds.NewFeeds(), feeds.NewFeeds()
	for _, f := range []*feeds.Feeds{reader, relay, member} {
		f.Keep(prefix, feed.Whole, 10, nil)
	}
	reader.Keep(prefix, 10, 12, []rows.Row{row("a", 11)})
	pass(reader, relay)
	wantTail(t, relay, 10, 12, "a")
	relay.Keep(prefix, 10, 12, []rows.Row{row("a", 11)})
	pass(relay, member)
	wantTail(t, member, 10, 12, "a")
}

// The reader's history of the store has a gap: it read everything anew, and deletions between may be missing. A host that knows
// only what was before must read for itself, or it would use an upstream that is gone.
func TestGapIsNotPassedOver(t *testing.T) {
	for name, gap := range map[string]func(reader *feeds.Feeds){
		"read whole": func(r *feeds.Feeds) { r.Keep(prefix, feed.Whole, 15, []rows.Row{row("b", 14)}) },
		"one missed": func(r *feeds.Feeds) { r.Keep(prefix, 13, 15, []rows.Row{row("b", 14)}) },
	} {
		reader, member := feeds.NewFeeds(), feeds.NewFeeds()
		reader.Keep(prefix, feed.Whole, 10, nil)
		member.Keep(prefix, feed.Whole, 10, nil)
		gap(reader)
		reader.Keep(prefix, 15, 16, []rows.Row{row("c", 16)})
		pass(reader, member)
		if list, _, ok := member.Tail(prefix, 10); ok {
			t.Errorf("%s: Tail(10) = %v, want none", name, list)
		}
	}
}

// Changes come faster than a host is told of them. What is kept for it is bounded, and it learns that it has missed some.
func TestKeptChangesAreBounded(t *testing.T) {
	reader, late, member := feeds.NewFeeds(), feeds.NewFeeds(), feeds.NewFeeds()
	for _, f := range []*feeds.Feeds{reader, late, member} {
		f.Keep(prefix, feed.Whole, 1, nil)
	}
	for rev := int64(2); rev < 5000; rev++ {
		reader.Keep(prefix, rev-1, rev, []rows.Row{row(fmt.Sprint(rev), rev)})
	}
	pass(reader, late)
	if _, _, ok := late.Tail(prefix, 1); ok {
		t.Error("Tail(1) = ok, want a reading of its own after thousands of changes")
	}
	member.Keep(prefix, feed.Whole, 4990, nil)
	pass(reader, member)
	if list, rev, ok := member.Tail(prefix, 4990); !ok || rev != 4999 || len(list) != 9 {
		t.Errorf("Tail(4990) = %d rows up to %d, %v, want 9 up to 4999", len(list), rev, ok)
	}
}

// So much has changed that the reader reads a list of all, which comes by keys and not by age, and of which not all is kept. A host that has seen
// half of the changes must get all the others or none: what it isn't told now it never is, and it goes on claiming engines that others hold.
func TestListOfManyChangesIsPassedOnWithoutGaps(t *testing.T) {
	const changes, stride = 3000, 7919 // the stride gives each change another place than its age
	reader, member := feeds.NewFeeds(), feeds.NewFeeds()
	reader.Keep(prefix, feed.Whole, 10, nil)
	var list []rows.Row
	for n := range changes {
		list = append(list, row(fmt.Sprint(n), int64(11+n*stride%changes)))
	}
	reader.Keep(prefix, 10, 10+changes, list)
	for _, seen := range []int64{10 + changes/4, 10 + changes/2, 10 + changes*3/4} {
		member.Keep(prefix, feed.Whole, seen, nil)
		pass(reader, member)
		got, rev, ok := member.Tail(prefix, seen)
		if want := 10 + changes - int(seen); ok && (len(got) != want || rev != 10+changes) {
			t.Errorf("a host at %d was passed %d changes up to %d, want %d up to %d", seen, len(got), rev, want, 10+changes)
		}
	}
}

// One row changes again and again, as the configuration does in a storm of changes. Only its newest state is kept and told.
func TestOnlyTheNewestStateIsKept(t *testing.T) {
	reader, member := feeds.NewFeeds(), feeds.NewFeeds()
	reader.Keep(prefix, feed.Whole, 1, nil)
	member.Keep(prefix, feed.Whole, 1, nil)
	for rev := int64(2); rev < 50; rev++ {
		reader.Keep(prefix, rev-1, rev, []rows.Row{row("conf", rev)})
	}
	pass(reader, member)
	wantTail(t, member, 1, 49, "conf")
}

// The store came back from a copy. A host that knew more of the era before than the one that reads keeps what is lost, unless it reads for itself.
func TestChangesAreNotPassedOnIntoAnotherEra(t *testing.T) {
	reader, member := feeds.NewFeeds(), feeds.NewFeeds()
	reader.Keep(prefix, feed.Whole, 10, nil)
	member.Keep(prefix, feed.Whole, 12, nil)
	reader.Keep(prefix, 10, rows.NewRev(1, 9), []rows.Row{row("a", rows.NewRev(1, 8))})
	pass(reader, member)
	if list, _, ok := member.Tail(prefix, 12); ok {
		t.Errorf("Tail(12) = %v, want none", list)
	}
	member.Keep(prefix, 12, rows.NewRev(1, 9), nil)
	reader.Keep(prefix, rows.NewRev(1, 9), rows.NewRev(1, 10), []rows.Row{row("b", rows.NewRev(1, 10))})
	pass(reader, member)
	wantTail(t, member, rows.NewRev(1, 9), rows.NewRev(1, 10), "b")
}

// All rows of the configuration are there in a new era. Each host would read them from the store, one after the other and too late for some.
func TestAllRowsArePassedOnIntoAnotherEra(t *testing.T) {
	reader, relay, member := feeds.NewFeeds(), feeds.NewFeeds(), feeds.NewFeeds()
	for _, f := range []*feeds.Feeds{reader, relay, member} {
		f.Keep(prefix, feed.Whole, 10, nil)
	}
	all := []rows.Row{row("a", rows.NewRev(1, 3)), row("b", rows.NewRev(1, 8))}
	reader.Keep(prefix, feed.Start, rows.NewRev(1, 9), all)
	pass(reader, relay)
	wantTail(t, relay, 10, rows.NewRev(1, 9), "a", "b")
	relay.Keep(prefix, feed.Start, rows.NewRev(1, 9), all)
	pass(relay, member)
	wantTail(t, member, 10, rows.NewRev(1, 9), "a", "b")
	reader.Keep(prefix, rows.NewRev(1, 9), rows.NewRev(1, 12), []rows.Row{row("a", rows.NewRev(1, 12))})
	pass(reader, relay)
	wantTail(t, relay, rows.NewRev(1, 9), rows.NewRev(1, 12), "a")
}
