package blame_test

import (
	"strconv"
	"testing"
	"time"

	"damaskreach/internal/blame"
)

var now = time.Unix(1000, 0)

// A request crashes each upstream that runs it, and its caller retries it on one host after the other. Each host sees only one
// crash; together they must block it.
func TestCrashingRequestIsBlockedOnAllHosts(t *testing.T) {
	hosts := []*blame.Blame{blame.NewBlame(), blame.NewBlame(), blame.NewBlame()}
	fingerprint := blame.Fingerprint("POST", "/p/x", "body")
	for _, h := range hosts {
		h.TakePending()
	}
	for i, h := range hosts {
		h.RecordBreak(fingerprint, string(rune('a'+i)), now, now)
		for _, other := range hosts {
			if other != h {
				other.AddReports([]string{fingerprint + " " + string(rune('a'+i))}, now)
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
	b := blame.NewBlame()
	fingerprint := blame.Fingerprint("x")
	for range 5 {
		b.RecordBreak(fingerprint, "a", now, now)
	}
	if b.Blocked(fingerprint, now) {
		t.Error("blocked after breaks of one upstream, want it served")
	}
}

// A request that broke off twice beside the cause is then served completely. Its record must be cleared.
func TestCompleteAnswerClearsRequest(t *testing.T) {
	b := blame.NewBlame()
	fingerprint := blame.Fingerprint("x")
	b.RecordBreak(fingerprint, "a", now, now)
	b.RecordBreak(fingerprint, "b", now, now)
	b.RecordSound(fingerprint, now)
	b.RecordBreak(fingerprint, "c", now, now)
	if b.Blocked(fingerprint, now) {
		t.Error("blocked, want the earlier breaks cleared")
	}
}

// breakMany records that many other requests broke off once each, as when many upstreams are lost together.
func breakMany(b *blame.Blame, count int) {
	for n := range count {
		b.RecordBreak(blame.Fingerprint("other", strconv.Itoa(n)), "lost", now, now)
	}
}

// Thousands of requests break off at once, among them one under which two upstreams have crashed already. Its record must outlast theirs.
func TestCrashingRequestIsKnownBeyondAMassCrash(t *testing.T) {
	b := blame.NewBlame()
	fingerprint := blame.Fingerprint("x")
	b.RecordBreak(fingerprint, "a", now, now)
	b.RecordBreak(fingerprint, "b", now, now)
	breakMany(b, 50_000)
	b.RecordBreak(fingerprint, "c", now, now)
	breakMany(b, 50_000)
	if !b.Blocked(fingerprint, now) {
		t.Error("not blocked after three crashes, want it known")
	}
}

// Hundreds of requests break off between two messages, the one that crashed upstreams before last of all. Other hosts must hear of it with the
// next message, and of the others later.
func TestCrashingRequestIsReportedFirst(t *testing.T) {
	b := blame.NewBlame()
	fingerprint := blame.Fingerprint("x")
	b.RecordBreak(fingerprint, "a", now, now)
	b.TakePending()
	breakMany(b, 500)
	b.RecordBreak(fingerprint, "b", now, now)
	if got, want := b.TakePending()[0], fingerprint+" b"; got != want {
		t.Errorf("first report = %q, want %q", got, want)
	}
	reported := 0
	for list := b.TakePending(); len(list) > 0; list = b.TakePending() {
		reported += len(list)
	}
	if got, want := reported, 501-200; got != want {
		t.Errorf("%d reports in further messages, want %d", got, want)
	}
}
