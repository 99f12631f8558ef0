package blame_test

import (
	"testing"
	"time"

	"damaskreach/internal/blame"
)

var now = time.Unix(1000, 0)

// A request crashes each upstream that runs it, and its caller sends it to one host after the other. Each host has seen one
// crash only; together they know of three, and none sends it on any more.
func TestHostsKnowTogetherOfARequestThatCrashesUpstreams(t *testing.T) {
	hosts := []*blame.Blame{{}, {}, {}}
	mark := blame.Print("POST", "/p/x", "body")
	for _, h := range hosts {
		h.News()
	}
	for i, h := range hosts {
		h.Broke(mark, string(rune('a'+i)), now)
		for _, other := range hosts {
			if other != h {
				other.Hear([]string{mark + " " + string(rune('a'+i))}, now)
			}
		}
		if got, want := len(h.News()), 1; got != want {
			t.Errorf("breaks to tell = %d, want %d", got, want)
		}
	}
	for i, h := range hosts {
		if !h.Barred(mark, now) {
			t.Errorf("host %d sends the request on, want it held back", i)
		}
		if h.Barred(mark, now.Add(time.Hour)) {
			t.Errorf("host %d holds it back an hour later", i)
		}
	}
}

// One upstream crashes twice under a request that has nothing to do with it, or tells of the same crash twice. The request
// is served on.
func TestBreaksOfOneUpstreamDoNotAddUp(t *testing.T) {
	var b blame.Blame
	mark := blame.Print("x")
	for range 5 {
		b.Broke(mark, "a", now)
	}
	if b.Barred(mark, now) {
		t.Error("held back after breaks of one upstream, want it served")
	}
}

// A request that broke off twice beside the cause is then served whole. It starts anew.
func TestWholeAnswerClearsARequest(t *testing.T) {
	var b blame.Blame
	mark := blame.Print("x")
	b.Broke(mark, "a", now)
	b.Broke(mark, "b", now)
	b.Served(mark)
	b.Broke(mark, "c", now)
	if b.Barred(mark, now) {
		t.Error("held back, want the earlier breaks forgotten")
	}
}
