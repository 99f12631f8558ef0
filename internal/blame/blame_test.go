package blame_test

import (
	"testing"
	"time"

	"damaskreach/internal/blame"
)

var now = time.Unix(1000, 0)

// A request crashes each upstream that runs it, and its caller retries it on one host after the other. Each host sees only one
// crash; together they must block it.
func TestCrashingRequestIsBlockedOnAllHosts(t *testing.T) {
	hosts := []*blame.Blame{{}, {}, {}}
	fingerprint := blame.Fingerprint("POST", "/p/x", "body")
	for _, h := range hosts {
		h.TakePending()
	}
	for i, h := range hosts {
		h.RecordBreak(fingerprint, string(rune('a'+i)), now)
		for _, other := range hosts {
			if other != h {
				other.AddBreaks([]string{fingerprint + " " + string(rune('a'+i))}, now)
			}
		}
		if got, want := len(h.TakePending()), 1; got != want {
			t.Errorf("pending breaks = %d, want %d", got, want)
		}
	}
	for i, h := range hosts {
		if !h.Blocked(fingerprint, now) {
			t.Errorf("host %d does not block the request, want it blocked", i)
		}
		if h.Blocked(fingerprint, now.Add(time.Hour)) {
			t.Errorf("host %d still blocks it an hour later", i)
		}
	}
}

// One upstream crashes repeatedly under an innocent request, or reports the same crash twice. The request must be served on.
func TestBreaksOfOneUpstreamCountOnce(t *testing.T) {
	var b blame.Blame
	fingerprint := blame.Fingerprint("x")
	for range 5 {
		b.RecordBreak(fingerprint, "a", now)
	}
	if b.Blocked(fingerprint, now) {
		t.Error("blocked after breaks of one upstream, want it served")
	}
}

// A request that broke off twice beside the cause is then served completely. Its record must be cleared.
func TestCompleteAnswerClearsRequest(t *testing.T) {
	var b blame.Blame
	fingerprint := blame.Fingerprint("x")
	b.RecordBreak(fingerprint, "a", now)
	b.RecordBreak(fingerprint, "b", now)
	b.Clear(fingerprint)
	b.RecordBreak(fingerprint, "c", now)
	if b.Blocked(fingerprint, now) {
		t.Error("blocked, want the earlier breaks cleared")
	}
}
