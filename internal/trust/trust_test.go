package trust_test

import (
	"testing"
	"time"

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
