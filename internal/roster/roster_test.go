package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damaskreach/internal/gossip"
	"damaskreach/internal/roster"
	"damaskreach/internal/status"
	"damaskreach/internal/stock"
	"damaskreach/internal/usage"
)

const silent = time.Second

var start = time.Unix(1000, 0)

// hostOf returns the owner of an engine named "HOST/...".
func hostOf(engine string) string { return engine[:1] }

func newHost(ip string, now time.Time) *roster.Roster {
	r := roster.NewRoster(ip, hostOf)
	r.CheckLiveness(silent, now)
	r.Report(status.Status{}, nil, nil, now)
	return r
}

// exchange exchanges a request and its answer.
func exchange(from, to *roster.Roster, fromIP, toIP string, relay bool, now time.Time) (question, answer gossip.Gossip) {
	question = from.Request(toIP, relay, now)
	to.Update(question, now)
	answer = to.Answer(question, now)
	from.Update(answer, now)
	return question, answer
}

func wantLive(t *testing.T, r *roster.Roster, now time.Time, live bool, ips ...string) {
	t.Helper()
	for _, ip := range ips {
		if _, got := r.Find(ip, now); got != live {
			t.Errorf("%s alive = %v, want %v", ip, got, live)
		}
	}
}

// An answer is lost. The next one must repeat its changes, or a host wouldn't learn an engine's stock until it changes again.
func TestLostAnswerIsRepeated(t *testing.T) {
	now := start
	member, relay := newHost("m", now), newHost("r", now)
	exchange(member, relay, "m", "r", false, now)
	relay.UpdateStock(stock.Stock{ID: "r/1", Incarnation: 1, Sequence: 3, Adapters: map[string]int{"a": 1}})
	q := member.Request("r", false, now)
	relay.Update(q, now)
	if lost := relay.Answer(q, now); len(lost.Stocks) != 1 {
		t.Fatalf("sent = %d stocks, want 1", len(lost.Stocks))
	}
	if _, next := exchange(member, relay, "m", "r", false, now); len(next.Stocks) != 1 {
		t.Errorf("sent after a lost answer = %d stocks, want 1", len(next.Stocks))
	}
	if _, next := exchange(member, relay, "m", "r", false, now); len(next.Stocks) != 0 {
		t.Errorf("sent again = %d stocks, want none", len(next.Stocks))
	}
}

// A relay restarts without state. Its hosts must send it their full state again and replace theirs by what it sends: a host that
// it no longer reports may be gone.
func TestRestartedRelayGetsFullState(t *testing.T) {
	now := start
	member, other, relay := newHost("m", now), newHost("o", now), newHost("r", now)
	for range 3 {
		exchange(member, relay, "m", "r", false, now)
		exchange(other, relay, "o", "r", false, now)
	}
	member.UpdateStock(stock.Stock{ID: "m/1", Incarnation: 1, Sequence: 1})
	exchange(member, relay, "m", "r", false, now)
	wantLive(t, member, now, true, "o", "r")
	relay = newHost("r", now)
	for range 3 {
		exchange(member, relay, "m", "r", false, now)
	}
	wantLive(t, relay, now, true, "m")
	wantLive(t, member, now, false, "o")
	exchange(other, relay, "o", "r", false, now)
	if _, answer := exchange(other, relay, "o", "r", false, now); len(answer.Stocks) != 0 {
		t.Errorf("sent twice = %v, want once", answer.Stocks)
	}
	exchange(member, relay, "m", "r", false, now)
	wantLive(t, member, now, true, "o")
}

// A host is lost that a new relay knows only from another relay, which stops reporting it once the two exchange as relays. A host that
// asked the new relay in between must learn of the loss, or it keeps sending to the lost host.
func TestUnreportedHostIsLost(t *testing.T) {
	now := start
	lost, relay, next, member := newHost("l", now), newHost("r", now), newHost("n", now), newHost("m", now)
	exchange(lost, relay, "l", "r", true, now)
	exchange(next, relay, "n", "r", false, now)
	for range 2 {
		exchange(member, next, "m", "n", false, now)
	}
	wantLive(t, member, now, true, "l")
	for range 20 {
		now = now.Add(silent / 5)
		exchange(next, relay, "n", "r", true, now)
		exchange(member, next, "m", "n", false, now)
		next.CheckLiveness(silent, now)
		relay.CheckLiveness(silent, now)
	}
	wantLive(t, relay, now, false, "l")
	wantLive(t, next, now, false, "l")
	wantLive(t, member, now, false, "l")
}

// A host moves to another relay. The old relay counts it as silent a second later; no other host may lose it.
func TestHostChangingRelayIsNotLost(t *testing.T) {
	now := start
	member, first, second, far := newHost("m", now), newHost("r", now), newHost("s", now), newHost("f", now)
	for i := range 40 {
		now = now.Add(100 * time.Millisecond)
		if i < 10 {
			exchange(member, first, "m", "r", false, now)
		} else {
			exchange(member, second, "m", "s", false, now)
		}
		exchange(first, far, "r", "f", true, now)
		exchange(second, far, "s", "f", true, now)
		for _, r := range []*roster.Roster{first, second, far} {
			r.CheckLiveness(silent, now)
		}
		if i > 0 {
			wantLive(t, far, now, true, "m")
		}
	}
}

// A host crashes. All others know within the silence timeout and the next messages.
func TestSilentHostIsLost(t *testing.T) {
	now := start
	dead, member, near, far := newHost("d", now), newHost("m", now), newHost("r", now), newHost("f", now)
	for i := range 20 {
		now = now.Add(100 * time.Millisecond)
		if i < 5 {
			exchange(dead, near, "d", "r", false, now)
		}
		exchange(near, far, "r", "f", true, now)
		exchange(member, far, "m", "f", false, now)
		near.CheckLiveness(silent, now)
		far.CheckLiveness(silent, now)
		member.CheckLiveness(silent, now)
		if i > 0 && i < 14 {
			wantLive(t, member, now, true, "d")
		}
	}
	wantLive(t, near, now, false, "d")
	wantLive(t, far, now, false, "d")
	wantLive(t, member, now, false, "d")
	if !member.Gone("d", now) {
		t.Error("d is not known to be gone, want it to be")
	}
}

// A message overtakes an older one, which must not revert the host's status.
func TestOutdatedMessageIsIgnored(t *testing.T) {
	now := start
	member, relay := newHost("m", now), newHost("r", now)
	old := member.Request("r", false, now)
	member.Report(status.Status{Leaving: true}, nil, nil, now.Add(time.Millisecond))
	relay.Update(member.Request("r", false, now), now)
	relay.Update(old, now)
	if b, ok := relay.Find("m", now); !ok || !b.Leaving {
		t.Errorf("m = %+v, %v, want it leaving", b, ok)
	}
}

// A usage count takes half a second by way of two relays and must carry that age: otherwise the engine's owner would take requests
// granted since for ended.
func TestUsagesCarryTheirAge(t *testing.T) {
	now := start
	user, near, far, owner := newHost("u", now), newHost("r", now), newHost("f", now), newHost("o", now)
	for range 2 {
		exchange(owner, far, "o", "f", false, now)
		exchange(near, far, "r", "f", true, now)
	}
	user.Report(status.Status{}, []usage.Usage{{Host: "u", Engine: "o/1", Running: 2}}, nil, now)
	now = now.Add(100 * time.Millisecond)
	exchange(user, near, "u", "r", false, now)
	now = now.Add(200 * time.Millisecond)
	exchange(near, far, "r", "f", true, now)
	now = now.Add(200 * time.Millisecond)
	_, answer := exchange(owner, far, "o", "f", false, now)
	if len(answer.Usages) != 1 || answer.Usages[0].Age != 500 || answer.Usages[0].Running != 2 {
		t.Errorf("sent = %+v, want 2 requests, 500 ms old", answer.Usages)
	}
	if _, other := exchange(user, near, "u", "r", false, now); len(other.Usages) != 0 {
		t.Errorf("sent to a host that does not own the engine: %v", other.Usages)
	}
}

// An upstream breaks off under a request, which runs well after that. Told in the other order, a host behind relays would count a break that is over.
func TestBreaksAreToldInTheOrderInWhichTheyCame(t *testing.T) {
	now := start
	source, near, far, member := newHost("s", now), newHost("n", now), newHost("f", now), newHost("m", now)
	source.Report(status.Status{}, nil, []string{"first"}, now)
	source.Report(status.Status{}, nil, []string{"second", "third"}, now)
	exchange(source, near, "s", "n", false, now)
	exchange(near, far, "n", "f", true, now)
	_, answer := exchange(member, far, "m", "f", false, now)
	if got, want := answer.Breaks, []string{"first", "second", "third"}; !slices.Equal(got, want) {
		t.Errorf("told = %q, want %q", got, want)
	}
	source.Report(status.Status{}, nil, []string{"fourth"}, now)
	question, _ := exchange(source, near, "s", "n", false, now)
	if got, want := question.Breaks, []string{"fourth"}; !slices.Equal(got, want) {
		t.Errorf("told later = %q, want %q", got, want)
	}
}

// Upstreams broke off under a request now and then for hours. A host that starts must not take all of that for one moment, and refuse the request.
func TestOldBreaksAreNotToldToHostsThatStart(t *testing.T) {
	now := start
	relay := newHost("r", now)
	relay.Report(status.Status{}, nil, []string{"old"}, now)
	now = now.Add(10 * time.Minute)
	relay.Report(status.Status{}, nil, []string{"new"}, now)
	member := newHost("m", now)
	_, answer := exchange(member, relay, "m", "r", false, now)
	if got, want := answer.Breaks, []string{"new"}; !slices.Equal(got, want) {
		t.Errorf("told = %q, want %q", got, want)
	}
}

// Hundreds of upstreams break off at once. What is kept of this for other hosts is bounded.
func TestBreaksKeptAreBounded(t *testing.T) {
	now := start
	relay := newHost("r", now)
	for i := range 100 {
		var broke []string
		for n := range 200 {
			broke = append(broke, fmt.Sprint(i, "-", n))
		}
		relay.Report(status.Status{}, nil, broke, now)
	}
	member := newHost("m", now)
	_, answer := exchange(member, relay, "m", "r", false, now)
	if got, want := len(answer.Breaks), 2000; got == 0 || got > want {
		t.Errorf("breaks sent = %d, want some, %d at most", got, want)
	}
}

// Hosts are replaced all day, each at another address. What a relay keeps of lost ones must not grow without bound.
func TestLostHostsAreForgotten(t *testing.T) {
	now := start
	relay, far := newHost("r", now), newHost("f", now)
	for i := range 50 {
		member := newHost(fmt.Sprint("m", i), now)
		exchange(member, relay, fmt.Sprint("m", i), "r", false, now)
		exchange(relay, far, "r", "f", true, now)
	}
	wantLive(t, far, now, true, "m0", "m49")
	for range 100 {
		now = now.Add(time.Second)
		relay.CheckLiveness(silent, now)
		far.CheckLiveness(silent, now)
		exchange(relay, far, "r", "f", true, now)
	}
	late := newHost("late", now)
	for name, r := range map[string]*roster.Roster{"r": relay, "f": far} {
		late.CheckLiveness(silent, now)
		_, answer := exchange(late, r, "late", name, false, now)
		if got, want := len(answer.Hosts), 2; got > want {
			t.Errorf("%s sends %d hosts, want %d at most", name, got, want)
		}
	}
	if far.Gone("m7", now) {
		t.Error("the other relay still keeps a host lost long ago")
	}
}

// An owner begins a new session and briefly doesn't count any engine as its own. A stock that it sends meanwhile must still reach
// the others, or they wouldn't know it until the next change.
func TestStockIsSentWhileOwnerIsUnknown(t *testing.T) {
	now := start
	owner := "m"
	member := roster.NewRoster("m", func(string) string { return owner })
	member.CheckLiveness(silent, now)
	member.Report(status.Status{}, nil, nil, now)
	relay := newHost("r", now)
	exchange(member, relay, "m", "r", false, now)
	owner = ""
	member.UpdateStock(stock.Stock{ID: "m/1", Incarnation: 1, Sequence: 1})
	if q, _ := exchange(member, relay, "m", "r", false, now); len(q.Stocks) != 1 {
		t.Errorf("sent = %d stocks, want 1", len(q.Stocks))
	}
}

// An engine changes its owner. The new one must soon get the usages there, even if the hosts have sent nothing since, or it would
// unload adapters in use.
func TestNewOwnerGetsUsages(t *testing.T) {
	now, owner := start, "a"
	relay, user := roster.NewRoster("r", func(string) string { return owner }), newHost("u", start)
	relay.CheckLiveness(silent, now)
	user.Report(status.Status{}, []usage.Usage{{Host: "u", Engine: "e", Running: 1}}, nil, now)
	exchange(user, relay, "u", "r", false, now)
	uses := func(ip string) int { return len(relay.Answer(newHost(ip, now).Request("r", false, now), now).Usages) }
	if got := uses("a"); got != 1 {
		t.Errorf("sent the owner %d usages, want 1", got)
	}
	owner = "b"
	now = now.Add(250 * time.Millisecond)
	if got := uses("b"); got != 1 {
		t.Errorf("sent the new owner %d usages, want 1", got)
	}
	if got := uses("a"); got != 0 {
		t.Errorf("sent the former owner %d usages, want none", got)
	}
}
