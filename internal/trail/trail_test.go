package trail_test

import (
	"slices"
	"testing"
	"time"

	"damaskreach/internal/ident"
	"damaskreach/internal/target"
	"damaskreach/internal/trail"
)

var (
	start    = time.Unix(1e9, 0)
	upstream = target.Target{ID: "u", Incarnation: 1, Group: "g", Addr: "10.0.0.1:80"}
	request  = ident.Ident{Fingerprint: "f"}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// A request is answered and its upstream ends behind that, soon or later. Only where it goes on has the request run well.
func TestAnswerIsSoundOnceItsUpstreamHasGoneOn(t *testing.T) {
	for _, c := range []struct {
		name          string
		failed        bool
		end           int // ms after the start; 0 for none
		sound, behind int
	}{
		{"goes on", false, 0, 1, 0},
		{"ends at once", false, 101, 0, 1},
		{"ends shortly behind", false, 200, 0, 1},
		{"ends later", false, 700, 1, 0},
		{"fails and goes on", true, 0, 0, 0},
		{"fails and ends later", true, 700, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := trail.NewTrail()
			run := tr.Begin(request, upstream, at(0))
			tr.Answer(run, c.failed, at(100))
			tr.End(run, at(101))
			if got := tr.Settle(at(350)); len(got) > 0 {
				t.Errorf("settled %v just behind the answer, want nothing known", got)
			}
			behind := 0
			if c.end > 0 {
				_, list, first := tr.Ended(upstream, start, at(c.end))
				_, _, again := tr.Ended(upstream, start, at(c.end))
				if behind = len(list); !first || again {
					t.Errorf("first = %v, again = %v, want the end told once", first, again)
				}
			}
			if got := len(tr.Settle(at(1500))); got != c.sound || behind != c.behind {
				t.Errorf("sound = %d, behind the answer = %d, want %d and %d", got, behind, c.sound, c.behind)
			}
		})
	}
}

// A connection closes behind an answer, and it takes a second to find out whether its upstream has ended. Until then nobody knows whether the request ran well.
func TestAnswerIsNotSoundWhileItsUpstreamIsInDoubt(t *testing.T) {
	for _, ended := range []bool{false, true} {
		tr := trail.NewTrail()
		run := tr.Begin(request, upstream, at(0))
		tr.Answer(run, false, at(10))
		if _, look := tr.Lost(upstream.Addr, false, at(50)); !look {
			t.Fatal("no look at an upstream that closed its connections behind an answer, want one")
		}
		if _, look := tr.Lost(upstream.Addr, false, at(60)); look {
			t.Error("a second look, want one at a time")
		}
		if got := tr.Settle(at(1000)); len(got) > 0 {
			t.Errorf("settled %v, want nothing while the upstream is in doubt", got)
		}
		want := 1
		if ended {
			tr.Ended(upstream, start, at(50))
			want = 0
		} else {
			tr.GoOn(upstream, at(1000))
		}
		if got := len(tr.Settle(at(1100))); got != want {
			t.Errorf("ended %v: settled = %d, want %d", ended, got, want)
		}
	}
}

// Several connections of an upstream that ends break one after the other. Each request that ran there must be among those that may be the cause, one that was rejected not.
func TestAllRequestsAtAnEndAreTold(t *testing.T) {
	tr := trail.NewTrail()
	broke, runs := tr.Begin(request, upstream, at(0)), tr.Begin(request, upstream, at(20))
	rejected := tr.Begin(request, upstream, at(30))
	tr.Reject(rejected, at(31))
	tr.End(broke, at(100))
	tr.Doubt(upstream, start, at(100))
	running, behind, first := tr.Ended(upstream, start, at(105))
	if len(running) != 2 || len(behind) != 0 || !first {
		t.Errorf("running = %d, behind = %d, want the one that broke off and the one that has not yet", len(running), len(behind))
	}
	tr.End(runs, at(110))
	tr.Sample(at(200), func(string, time.Time, []ident.Ident, []ident.Ident) {
		t.Error("an upstream that has ended is sampled")
	})
}

// A host lacks processor time, and looks at its connections half a second late. An end behind an answer must count all the same, and nothing may be settled before the look.
func TestLateLookFindsEndsBehindAnswers(t *testing.T) {
	tr := trail.NewTrail()
	tr.Looked(at(100))
	tr.Answer(tr.Begin(request, upstream, at(50)), false, at(110))
	if got := tr.Settle(at(650)); len(got) > 0 {
		t.Errorf("settled %v before anybody looked, want nothing", got)
	}
	if _, look := tr.Lost(upstream.Addr, false, at(700)); !look {
		t.Error("no look at an upstream that closed its connections at an unknown time since its answer, want one")
	}
	if _, behind, _ := tr.Ended(upstream, at(700), at(700)); len(behind) != 1 {
		t.Errorf("behind = %d, want the request that was answered", len(behind))
	}
}

// A request runs for long before it crashes its upstream. Were what is present just before ends sampled, it would look like one that is present everywhere.
func TestSamplesAreOfUpstreamsThatGoOn(t *testing.T) {
	for _, ends := range []bool{false, true} {
		tr := trail.NewTrail()
		tr.Begin(request, upstream, at(0))
		tr.Reject(tr.Begin(request, upstream, at(400)), at(400))
		if ends {
			tr.Doubt(upstream, start, at(900))
		}
		samples, running := 0, 0
		for _, ms := range []int{500, 1100, 1300} {
			tr.Sample(at(ms), func(_ string, _ time.Time, list, _ []ident.Ident) { samples++; running += len(list) })
		}
		want := 2
		if ends {
			want = 0
		}
		if samples != want || running != want {
			t.Errorf("ends %v: %d samples with %d requests, want %d and %d", ends, samples, running, want, want)
		}
	}
}

// An upstream ends and its successor serves at its address before it has registered. Its end counts apart, and late news of the first does not touch it.
func TestSuccessorBeforeItsRegistrationIsAnother(t *testing.T) {
	tr := trail.NewTrail()
	tr.Begin(request, upstream, at(0))
	tr.Ended(upstream, at(0), at(100))
	tr.Answer(tr.Begin(request, upstream, at(1000)), false, at(1010))
	if got, before := tr.Restarts(upstream, at(1000)), tr.Restarts(upstream, at(0)); got != 1 || before != 0 {
		t.Errorf("restarts = %d, and %d for the first, want 1 and 0", got, before)
	}
	if _, _, first := tr.Ended(upstream, at(0), at(1020)); first {
		t.Error("late news of the first ended its successor")
	}
	if _, behind, first := tr.Ended(upstream, at(1000), at(1050)); !first || len(behind) != 1 {
		t.Errorf("behind = %d, first = %v, want the request that was answered, once", len(behind), first)
	}
	if got := tr.Settle(at(2000)); len(got) > 0 {
		t.Errorf("settled %v, want nothing: its upstream ended behind its answer", got)
	}
}

// A request is given up while its upstream may run it for another second, and the upstream ends then. It must be among those that may be the cause.
func TestRequestThatWasGivenUpIsPresentUntilItsDeadline(t *testing.T) {
	for ended, want := range map[int]int{900: 1, 1500: 0} {
		tr := trail.NewTrail()
		run := tr.Begin(request, upstream, at(0))
		tr.GiveUp(run, at(1000))
		tr.End(run, at(501))
		if running, _, _ := tr.Ended(upstream, at(0), at(ended)); len(running) != want {
			t.Errorf("running when its upstream ended after %d ms = %d, want %d", ended, len(running), want)
		}
	}
}

// An upstream is away and its registration still stands. Sampled all the same, it would make what is popular look as if it were seldom present.
func TestUpstreamThatIsAwayIsNotSampled(t *testing.T) {
	tr := trail.NewTrail()
	tr.Answer(tr.Begin(request, upstream, at(0)), false, at(10))
	tr.Ended(upstream, at(0), at(20))
	tr.Miss(tr.Begin(request, upstream, at(100)), at(101))
	other := target.Target{ID: "other", Incarnation: 1, Group: "g", Addr: "10.0.0.2:80"}
	tr.Answer(tr.Begin(request, other, at(0)), false, at(10))
	tr.Miss(tr.Begin(request, other, at(200)), at(201))
	for _, ms := range []int{1200, 1400} {
		tr.Sample(at(ms), func(string, time.Time, []ident.Ident, []ident.Ident) {
			t.Errorf("sampled after %d ms, want no upstream", ms)
		})
	}
}

// An upstream is looked at behind one answer, gives another one meanwhile and ends behind that. Both may be the cause, and neither may count as one that ran well.
func TestAnswerDuringALookIsAmongThoseAtTheEnd(t *testing.T) {
	tr := trail.NewTrail()
	tr.Answer(tr.Begin(request, upstream, at(0)), false, at(10))
	if _, look := tr.Lost(upstream.Addr, true, at(10)); !look {
		t.Fatal("no look at an upstream whose connections cannot tell, want one")
	}
	tr.Answer(tr.Begin(request, upstream, at(20)), false, at(70))
	if _, behind, _ := tr.Ended(upstream, at(10), at(110)); len(behind) != 2 {
		t.Errorf("behind = %d, want both answers", len(behind))
	}
	if got := tr.Settle(at(2000)); len(got) > 0 {
		t.Errorf("settled %v, want nothing", got)
	}
}

// An upstream has started again, and is known by its new registration since. Sampled under the former one too, it would look as if nothing were present there.
func TestUpstreamIsSampledUnderItsNewestRegistrationAlone(t *testing.T) {
	tr := trail.NewTrail()
	again := upstream
	again.Incarnation++
	tr.Answer(tr.Begin(request, upstream, at(0)), false, at(400))
	tr.Begin(request, again, at(420))
	tr.Reject(tr.Begin(request, again, at(600)), at(600))
	samples := 0
	tr.Sample(at(1500), func(_ string, _ time.Time, running, _ []ident.Ident) {
		if samples++; len(running) != 1 {
			t.Errorf("running = %d, want the request that runs", len(running))
		}
	})
	if samples != 1 {
		t.Errorf("%d samples, want 1", samples)
	}
}

// An upstream lives for half a second. Its moments must be sampled, each once, but for the last ones, and those after its end must not.
func TestShortLivesAreSampled(t *testing.T) {
	tr := trail.NewTrail()
	tr.Answer(tr.Begin(request, upstream, at(0)), false, at(250))
	var taken []time.Time
	for ms := 50; ms <= 1000; ms += 50 {
		if ms == 500 {
			tr.Doubt(upstream, start, at(480))
			tr.Ended(upstream, start, at(490))
		}
		tr.SampleAny(at(ms), func(_ string, at time.Time, running, _ []ident.Ident) {
			taken = append(taken, at)
			if got, want := len(running), 1; at.Before(start.Add(250*time.Millisecond)) && got != want {
				t.Errorf("running at %v = %d, want %d", at.Sub(start), got, want)
			}
		})
	}
	if want := []time.Time{at(100), at(300)}; !slices.Equal(taken, want) {
		t.Errorf("moments = %v, want %v", taken, want)
	}
}
