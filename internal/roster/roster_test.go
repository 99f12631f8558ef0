package roster_test

import (
	"fmt"
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

// hostOf returns the host that orders an engine named "HOST/...".
func hostOf(engine string) string { return engine[:1] }

func host(ip string, now time.Time) *roster.Roster {
	r := roster.NewRoster(ip, hostOf)
	r.Look(silent, now)
	r.Note(status.Status{}, nil, nil, now)
	return r
}

// speak carries a question and its answer.
func speak(from, to *roster.Roster, fromIP, toIP string, relay bool, now time.Time) (question, answer gossip.Gossip) {
	question = from.Ask(toIP, relay, now)
	to.Hear(question, now)
	answer = to.Answer(question, now)
	from.Hear(answer, now)
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

// An answer is lost on its way. What it told must come with the next one, or a host would not learn what an engine holds until that
// changes again.
func TestLostAnswerIsMadeUpFor(t *testing.T) {
	now := start
	member, relay := host("m", now), host("r", now)
	speak(member, relay, "m", "r", false, now)
	relay.Held(stock.Stock{ID: "r/1", Incarnation: 1, Sequence: 3, Adapters: map[string]int{"a": 1}})
	q := member.Ask("r", false, now)
	relay.Hear(q, now)
	if lost := relay.Answer(q, now); len(lost.Held) != 1 {
		t.Fatalf("told = %d engines, want 1", len(lost.Held))
	}
	if _, next := speak(member, relay, "m", "r", false, now); len(next.Held) != 1 {
		t.Errorf("told after a lost answer = %d engines, want 1", len(next.Held))
	}
	if _, next := speak(member, relay, "m", "r", false, now); len(next.Held) != 0 {
		t.Errorf("told again = %d engines, want none", len(next.Held))
	}
}

// A relay restarts and knows nothing. Its hosts must tell it all of themselves again, and take what it tells as a whole: a host that
// it says nothing of any more may be gone.
func TestRestartedRelayIsToldEverything(t *testing.T) {
	now := start
	member, other, relay := host("m", now), host("o", now), host("r", now)
	for range 3 {
		speak(member, relay, "m", "r", false, now)
		speak(other, relay, "o", "r", false, now)
	}
	member.Held(stock.Stock{ID: "m/1", Incarnation: 1, Sequence: 1})
	speak(member, relay, "m", "r", false, now)
	wantLive(t, member, now, true, "o", "r")
	relay = host("r", now)
	for range 3 {
		speak(member, relay, "m", "r", false, now)
	}
	wantLive(t, relay, now, true, "m")
	wantLive(t, member, now, false, "o")
	speak(other, relay, "o", "r", false, now)
	if _, answer := speak(other, relay, "o", "r", false, now); len(answer.Held) != 0 {
		t.Errorf("told twice = %v, want once", answer.Held)
	}
	speak(member, relay, "m", "r", false, now)
	wantLive(t, member, now, true, "o")
}

// A relay is lost that a new relay knows only by another one's word, and that one ceases to speak of it as the two now speak as relays. A host that
// asked the new relay in between must hear of the loss, or it sends to the lost host for good.
func TestHostThatIsNoLongerSpokenOfIsLost(t *testing.T) {
	now := start
	lost, relay, next, member := host("l", now), host("r", now), host("n", now), host("m", now)
	speak(lost, relay, "l", "r", true, now)
	speak(next, relay, "n", "r", false, now)
	for range 2 {
		speak(member, next, "m", "n", false, now)
	}
	wantLive(t, member, now, true, "l")
	for range 20 {
		now = now.Add(silent / 5)
		speak(next, relay, "n", "r", true, now)
		speak(member, next, "m", "n", false, now)
		next.Look(silent, now)
		relay.Look(silent, now)
	}
	wantLive(t, relay, now, false, "l")
	wantLive(t, next, now, false, "l")
	wantLive(t, member, now, false, "l")
}

// A host goes from one relay to another. Its old one still takes it for silent a second later; nobody else may lose it.
func TestHostThatChangesItsRelayIsNotLost(t *testing.T) {
	now := start
	member, first, second, far := host("m", now), host("r", now), host("s", now), host("f", now)
	for i := range 40 {
		now = now.Add(100 * time.Millisecond)
		if i < 10 {
			speak(member, first, "m", "r", false, now)
		} else {
			speak(member, second, "m", "s", false, now)
		}
		speak(first, far, "r", "f", true, now)
		speak(second, far, "s", "f", true, now)
		for _, r := range []*roster.Roster{first, second, far} {
			r.Look(silent, now)
		}
		if i > 0 {
			wantLive(t, far, now, true, "m")
		}
	}
}

// A host dies. Everyone knows within the time after which a silent host counts as lost, and the next messages.
func TestSilentHostIsLostEverywhere(t *testing.T) {
	now := start
	dead, member, near, far := host("d", now), host("m", now), host("r", now), host("f", now)
	for i := range 20 {
		now = now.Add(100 * time.Millisecond)
		if i < 5 {
			speak(dead, near, "d", "r", false, now)
		}
		speak(near, far, "r", "f", true, now)
		speak(member, far, "m", "f", false, now)
		near.Look(silent, now)
		far.Look(silent, now)
		member.Look(silent, now)
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

// A message overtakes another one. The older one must not bring back what a host has told since.
func TestOvertakenMessageChangesNothing(t *testing.T) {
	now := start
	member, relay := host("m", now), host("r", now)
	old := member.Ask("r", false, now)
	member.Note(status.Status{Leaving: true}, nil, nil, now.Add(time.Millisecond))
	relay.Hear(member.Ask("r", false, now), now)
	relay.Hear(old, now)
	if b, ok := relay.Find("m", now); !ok || !b.Leaving {
		t.Errorf("m = %+v, %v, want it leaving", b, ok)
	}
}

// Hosts tell how many requests they have at engines. A count that took half a second by way of two relays must say so: the host that
// orders the engine would take what it has granted since for ended.
func TestCountsCarryTheirAge(t *testing.T) {
	now := start
	user, near, far, owner := host("u", now), host("r", now), host("f", now), host("o", now)
	for range 2 {
		speak(owner, far, "o", "f", false, now)
		speak(near, far, "r", "f", true, now)
	}
	user.Note(status.Status{}, []usage.Usage{{Host: "u", Engine: "o/1", Running: 2}}, nil, now)
	now = now.Add(100 * time.Millisecond)
	speak(user, near, "u", "r", false, now)
	now = now.Add(200 * time.Millisecond)
	speak(near, far, "r", "f", true, now)
	now = now.Add(200 * time.Millisecond)
	_, answer := speak(owner, far, "o", "f", false, now)
	if len(answer.Uses) != 1 || answer.Uses[0].Age != 500 || answer.Uses[0].Running != 2 {
		t.Errorf("told = %+v, want 2 requests, 500 ms old", answer.Uses)
	}
	if _, other := speak(user, near, "u", "r", false, now); len(other.Uses) != 0 {
		t.Errorf("told to a host that does not order the engine: %v", other.Uses)
	}
}

// Hundreds of upstreams break off at once. What is kept of it for hosts that have not heard is bounded.
func TestBreaksKeptAreBounded(t *testing.T) {
	now := start
	relay := host("r", now)
	for i := range 100 {
		var broke []string
		for n := range 200 {
			broke = append(broke, fmt.Sprint(i, "-", n))
		}
		relay.Note(status.Status{}, nil, broke, now)
	}
	member := host("m", now)
	_, answer := speak(member, relay, "m", "r", false, now)
	if got, want := len(answer.Broke), 2000; got == 0 || got > want {
		t.Errorf("breaks told = %d, want some, %d at most", got, want)
	}
}

// Hosts are replaced all day, each at another address. What a relay keeps of those that are gone must not grow as long as it runs.
func TestHostsThatAreGoneAreForgotten(t *testing.T) {
	now := start
	relay, far := host("r", now), host("f", now)
	for i := range 50 {
		member := host(fmt.Sprint("m", i), now)
		speak(member, relay, fmt.Sprint("m", i), "r", false, now)
		speak(relay, far, "r", "f", true, now)
	}
	wantLive(t, far, now, true, "m0", "m49")
	for range 100 {
		now = now.Add(time.Second)
		relay.Look(silent, now)
		far.Look(silent, now)
		speak(relay, far, "r", "f", true, now)
	}
	late := host("late", now)
	for name, r := range map[string]*roster.Roster{"r": relay, "f": far} {
		late.Look(silent, now)
		_, answer := speak(late, r, "late", name, false, now)
		if got, want := len(answer.Hosts), 2; got > want {
			t.Errorf("%s tells of %d hosts, want %d at most", name, got, want)
		}
	}
	if far.Gone("m7", now) {
		t.Error("the other relay still keeps a host that is gone for long")
	}
}

// A host that orders an engine begins a new session and for a moment does not believe that any engine is its own. What it tells of the
// engine in that moment must reach the others all the same, or they would not know of it until the next change.
func TestEngineIsToldOfWhileItsHostIsInDoubt(t *testing.T) {
	now := start
	owner := "m"
	member := roster.NewRoster("m", func(string) string { return owner })
	member.Look(silent, now)
	member.Note(status.Status{}, nil, nil, now)
	relay := host("r", now)
	speak(member, relay, "m", "r", false, now)
	owner = ""
	member.Held(stock.Stock{ID: "m/1", Incarnation: 1, Sequence: 1})
	if q, _ := speak(member, relay, "m", "r", false, now); len(q.Held) != 1 {
		t.Errorf("told = %d engines, want 1", len(q.Held))
	}
}

// Another host takes an engine. It must soon hear what requests use there, though the hosts that use it have said nothing since, or it would
// unload what they use.
func TestNewOrderGiverHearsOfUsesSoon(t *testing.T) {
	now, owner := start, "a"
	relay, user := roster.NewRoster("r", func(string) string { return owner }), host("u", start)
	relay.Look(silent, now)
	user.Note(status.Status{}, []usage.Usage{{Host: "u", Engine: "e", Running: 1}}, nil, now)
	speak(user, relay, "u", "r", false, now)
	uses := func(ip string) int { return len(relay.Answer(host(ip, now).Ask("r", false, now), now).Uses) }
	if got := uses("a"); got != 1 {
		t.Errorf("told the order giver of %d uses, want 1", got)
	}
	owner = "b"
	now = now.Add(250 * time.Millisecond)
	if got := uses("b"); got != 1 {
		t.Errorf("told the new order giver of %d uses, want 1", got)
	}
	if got := uses("a"); got != 0 {
		t.Errorf("told the former order giver of %d uses, want none", got)
	}
}
