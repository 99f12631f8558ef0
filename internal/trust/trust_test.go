package trust_test

import (
	"testing"
	"time"

	"damaskreach/internal/marks"
	"damaskreach/internal/trust"
)

const limit = 2 * time.Second

var now = time.Unix(1000, 0)

// The host that reads for others loses the store and goes on sending messages. Others must read for themselves as soon as
// its last reading is too old; an upstream that left meanwhile would get new work otherwise.
func TestHostThatLostTheStoreIsNotReliedOn(t *testing.T) {
	var tr trust.Trust
	tr.Note("reader", 100*time.Millisecond, now)
	if !tr.Fresh(limit, now.Add(time.Second)) {
		t.Error("not relied on 1.1 s after its reading, want it to be")
	}
	tr.Note("reader", 1800*time.Millisecond, now.Add(1700*time.Millisecond))
	if tr.Fresh(limit, now.Add(2*time.Second)) {
		t.Error("relied on 2.1 s after its reading, since it still talks")
	}
}

// The host that reads for others dies. Its word ends with the age of its last reading.
func TestSilentHostIsNotReliedOn(t *testing.T) {
	var tr trust.Trust
	tr.Note("reader", 0, now)
	if tr.Fresh(limit, now.Add(limit)) {
		t.Error("relied on after the limit")
	}
}

// A host gives the reading up to another one. It is not relied on any more.
func TestHostThatStopsReadingIsNotReliedOn(t *testing.T) {
	var tr trust.Trust
	tr.Note("reader", 0, now)
	tr.Note("reader", -1, now)
	if tr.Fresh(limit, now) {
		t.Error("relied on after it stopped")
	}
}

// The word of a reader reaches a host by way of two others, and these go on passing it to each other after the reader has died. It
// must not get younger on the way, or all would rely on a host that is dead.
func TestReadingDoesNotGetYoungerOnItsWay(t *testing.T) {
	var relay, other, member trust.Trust
	at := now
	relay.Note("reader", 0, at)
	for range 30 {
		at = at.Add(100 * time.Millisecond)
		for _, hop := range []struct{ from, to *trust.Trust }{{&relay, &other}, {&other, &relay}, {&other, &member}} {
			if age, ok := hop.from.Age(at); ok {
				hop.to.Note("neighbour", age, at)
			}
		}
	}
	for name, tr := range map[string]*trust.Trust{"relay": &relay, "other": &other, "member": &member} {
		if got, ok := tr.Age(at); !ok || got < 3*time.Second {
			t.Errorf("%s takes the reading for %v old, want 3 s", name, got)
		}
		if tr.Fresh(limit, at) {
			t.Errorf("%s relies on a reading of 3 s ago", name)
		}
	}
}

// Two relays that the store turns away pass on to each other how far somebody else has read. An older word that comes back must not take the
// place of a newer one, and neither gets younger: members would be told of less than there is.
func TestNewestReadingThatOthersToldOfIsPassedOn(t *testing.T) {
	var tr trust.Trust
	known := int64(4)
	covers := func(m marks.Marks) bool { return m.Targets <= known }
	if _, _, ok := tr.Beyond(now, covers); ok {
		t.Error("tells of a reading though it has heard of none")
	}
	tr.Ahead(marks.Marks{Targets: 7, Age: 100}, now)
	tr.Ahead(marks.Marks{Targets: 5, Age: 900}, now.Add(200*time.Millisecond))
	tr.Note("neighbour", 0, now.Add(300*time.Millisecond)) // which knows no more
	got, behind, ok := tr.Beyond(now.Add(time.Second), covers)
	if want := (marks.Marks{Targets: 7, Age: 1100}); !ok || got != want || behind != time.Second {
		t.Errorf("Beyond() = %+v, behind for %v, %v, want %+v, behind for 1 s", got, behind, ok, want)
	}
	known = 7
	if got, _, ok := tr.Beyond(now.Add(2*time.Second), covers); ok {
		t.Errorf("Beyond() = %+v though the host knows as much, want nothing", got)
	}
}
