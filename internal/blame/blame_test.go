package blame_test

import (
	"strconv"
	"testing"
	"time"

	"damaskreach/internal/blame"
	"damaskreach/internal/demand"
	"damaskreach/internal/ident"
)

var now = time.Unix(1000, 0)

func fingerprintOf(uri string) string {
	return ident.NewIdent(demand.Demand{URI: uri}, "red", "").Fingerprint
}

// known returns a request that has nothing in common with others.
func known(fingerprint string) ident.Ident { return ident.Ident{Fingerprint: fingerprint} }

// A request crashes each upstream that runs it, and its caller retries it on one host after the other. Each host sees only one
// crash; together they must block it.
func TestCrashingRequestIsBlockedOnAllHosts(t *testing.T) {
	hosts := []*blame.Blame{blame.NewBlame(), blame.NewBlame(), blame.NewBlame()}
	fingerprint := fingerprintOf("/p/x")
	for _, h := range hosts {
		h.TakePending()
	}
	for i, h := range hosts {
		h.RecordBreak(known(fingerprint), string(rune('a'+i)), now, now)
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
	fingerprint := fingerprintOf("x")
	for range 5 {
		b.RecordBreak(known(fingerprint), "a", now, now)
	}
	if b.Blocked(fingerprint, now) {
		t.Error("blocked after breaks of one upstream, want it served")
	}
}

// A request that broke off twice beside the cause is then served completely. Its record must be cleared.
func TestCompleteAnswerClearsRequest(t *testing.T) {
	b := blame.NewBlame()
	fingerprint := fingerprintOf("x")
	b.RecordBreak(known(fingerprint), "a", now, now)
	b.RecordBreak(known(fingerprint), "b", now, now)
	b.RecordSound(known(fingerprint), now)
	b.RecordBreak(known(fingerprint), "c", now, now)
	if b.Blocked(fingerprint, now) {
		t.Error("blocked, want the earlier breaks cleared")
	}
}

// breakMany records that many other requests broke off once each, as when many upstreams are lost together.
func breakMany(b *blame.Blame, count int) {
	for n := range count {
		b.RecordBreak(known(fingerprintOf("other"+strconv.Itoa(n))), "lost", now, now)
	}
}

// Thousands of requests break off at once, among them one under which two upstreams have crashed already. Its record must outlast theirs.
func TestCrashingRequestIsKnownBeyondAMassCrash(t *testing.T) {
	b := blame.NewBlame()
	fingerprint := fingerprintOf("x")
	b.RecordBreak(known(fingerprint), "a", now, now)
	b.RecordBreak(known(fingerprint), "b", now, now)
	breakMany(b, 50_000)
	b.RecordBreak(known(fingerprint), "c", now, now)
	breakMany(b, 50_000)
	if !b.Blocked(fingerprint, now) {
		t.Error("not blocked after three crashes, want it known")
	}
}

// Hundreds of requests break off between two messages, the one that crashed upstreams before last of all. Other hosts must hear of it with the
// next message, and of the others later.
func TestCrashingRequestIsReportedFirst(t *testing.T) {
	b := blame.NewBlame()
	fingerprint := fingerprintOf("x")
	b.RecordBreak(known(fingerprint), "a", now, now)
	b.TakePending()
	breakMany(b, 500)
	b.RecordBreak(known(fingerprint), "b", now, now)
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

// exchange passes the reports of each host on to all others.
func exchange(hosts ...*blame.Blame) { exchangeAt(now, hosts...) }

// exchangeAt does so at a moment.
func exchangeAt(at time.Time, hosts ...*blame.Blame) {
	for _, from := range hosts {
		list := from.TakePending()
		for _, to := range hosts {
			if to != from {
				to.AddReports(list, at)
			}
		}
	}
}

// Two upstreams break off under a request that runs well after that, at one host. Unless all hosts hear of it, the next break blocks the request at
// the others.
func TestCompleteAnswerClearsRequestOnAllHosts(t *testing.T) {
	one, two, three := blame.NewBlame(), blame.NewBlame(), blame.NewBlame()
	fingerprint := fingerprintOf("x")
	one.RecordBreak(known(fingerprint), "a", now, now)
	one.RecordBreak(known(fingerprint), "b", now, now)
	exchange(one, two, three)
	two.RecordSound(known(fingerprint), now)
	exchange(one, two, three)
	three.RecordBreak(known(fingerprint), "c", now, now)
	exchange(one, two, three)
	for i, h := range []*blame.Blame{one, two, three} {
		if h.Blocked(fingerprint, now) {
			t.Errorf("host %d blocks a request that ran well between the breaks, want it served", i)
		}
	}
}

// A host judges breaks a moment after they came, and the request has run well meanwhile. They must not count any more.
func TestBreakBeforeACompleteAnswerDoesNotCount(t *testing.T) {
	b := blame.NewBlame()
	fingerprint := fingerprintOf("x")
	b.RecordSound(known(fingerprint), now.Add(500*time.Millisecond))
	for _, upstream := range []string{"a", "b", "c"} {
		b.RecordBreak(known(fingerprint), upstream, now, now.Add(time.Second))
	}
	if b.Blocked(fingerprint, now.Add(time.Second)) {
		t.Error("blocked, want the breaks before the answer ignored")
	}
}

// A request crashes upstreams from some moment on, after it ran well. It must be blocked all the same.
func TestRequestThatRanWellIsBlockedOnceItCrashesUpstreams(t *testing.T) {
	b := blame.NewBlame()
	fingerprint := fingerprintOf("x")
	b.RecordSound(known(fingerprint), now)
	for i, upstream := range []string{"a", "b", "c", "d"} {
		at := now.Add(time.Duration(i+1) * time.Second)
		b.RecordBreak(known(fingerprint), upstream, at, at)
	}
	if !b.Blocked(fingerprint, now.Add(4*time.Second)) {
		t.Error("not blocked after four crashes, want it blocked")
	}
}

// A message from another host holds anything at all.
func TestOddReportsAreIgnored(t *testing.T) {
	b := blame.NewBlame()
	fingerprint := fingerprintOf("x")
	b.AddReports([]string{"", "whole", "whole ", fingerprint, fingerprint + " ", " " + fingerprint, "sound x", "crash e 1 x"}, now)
	b.AddReports([]string{fingerprint + " a", fingerprint + " a", "whole y", fingerprint + " b"}, now)
	if b.Blocked(fingerprint, now) {
		t.Error("blocked, want no break counted but those of a and b")
	}
}

// of returns a request for a path that comes from an address.
func of(path, ip string) ident.Ident { return ident.NewIdent(demand.Demand{URI: path}, "", ip+":1") }

// breaks records a break under each request, one every two seconds, on one host after the other, which tell each other.
func breaks(hosts []*blame.Blame, at time.Time, list ...ident.Ident) time.Time {
	for n, i := range list {
		at = at.Add(2 * time.Second)
		from := hosts[n%len(hosts)]
		from.RecordBreak(i, "u"+strconv.Itoa(n), at, at)
		reports := from.TakePending()
		for _, to := range hosts {
			if to != from {
				to.AddReports(reports, at)
			}
		}
	}
	return at
}

// A request that crashes upstreams comes from another address each time, or with another query. Known by these alone, it would take down one upstream after the other.
func TestCrashingRequestOfManyNamesIsBlockedOnAllHosts(t *testing.T) {
	for name, list := range map[string][]ident.Ident{
		"addresses": {of("/x", "10.0.0.1"), of("/x", "10.0.0.2"), of("/x", "10.0.0.3")},
		"queries":   {of("/x?a", "10.0.0.1"), of("/x?b", "10.0.0.1"), of("/x", "10.0.0.1")},
		"some":      {of("/x", "10.0.0.1"), of("/x", "10.0.0.2"), of("/x", "10.0.0.1")},
	} {
		hosts := []*blame.Blame{blame.NewBlame(), blame.NewBlame()}
		at := breaks(hosts, now, list...)
		for n, h := range hosts {
			if !h.Blocked(of("/x", "10.0.0.9").Wide, at) {
				t.Errorf("%s: host %d does not block it, want it blocked", name, n)
			}
			restarted := blame.NewBlame()
			restarted.Restore(h.Blocks(at), at)
			if !restarted.Blocked(of("/x", "10.0.0.9").Wide, at) {
				t.Errorf("%s: a host that starts again does not block it, want it blocked", name)
			}
		}
	}
}

// Requests have nothing but a path in common with one that crashes upstreams, or upstreams ended together under them, or some of them run well. They must be served.
func TestRequestsBesideACrashingOneAreNotBlocked(t *testing.T) {
	one, other := of("/x", "10.0.0.1"), of("/x", "10.0.0.2")
	for name, record := range map[string]func(hosts []*blame.Blame) time.Time{
		"one caller's alone": func(hosts []*blame.Blame) time.Time { return breaks(hosts, now, one, one, one, one, one) },
		"other paths": func(hosts []*blame.Blame) time.Time {
			return breaks(hosts, now, one, other, of("/y", "10.0.0.1"), of("/z", "10.0.0.2"))
		},
		"some run well meanwhile": func(hosts []*blame.Blame) time.Time {
			at := breaks(hosts, now, one, other)
			hosts[1].RecordSound(of("/x?other", "10.0.0.3"), at)
			hosts[0].AddReports(hosts[1].TakePending(), at)
			return breaks(hosts, at, one, other)
		},
		"together": func(hosts []*blame.Blame) time.Time {
			for n := range 9 {
				hosts[0].RecordBreak(of("/x", "10.0.0."+strconv.Itoa(n)), "u"+strconv.Itoa(n), now, now)
				hosts[1].AddReports(hosts[0].TakePending(), now)
			}
			return now
		},
	} {
		hosts := []*blame.Blame{blame.NewBlame(), blame.NewBlame()}
		at := record(hosts)
		for n, h := range hosts {
			if h.Blocked(other.Wide, at) || h.Blocked(other.Fingerprint, at) {
				t.Errorf("%s: host %d blocks a request of another caller, want it served", name, n)
			}
		}
	}
}
