package intake_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/intake"
	"damaskreach/internal/marks"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/table"
	"damaskreach/internal/target"
)

// source is a store whose answers are set by the test.
type source struct {
	mu    sync.Mutex
	rows  map[string][]rows.Row // all rows by prefix
	down  bool
	gone  bool // the history is gone
	slow  time.Duration
	asks  int        // calls about upstreams that it answered
	tails int        // times it was asked what changed of them
	pass  []rows.Row // registrations that another host passes on
	rev   int64
}

func (s *source) table() table.Table {
	// An answer is of one moment, like the store's: rows of before the store came back don't bear a revision of after it.
	answer := func(ctx context.Context, prefix string, tail bool) ([]rows.Row, int64, error) {
		s.mu.Lock()
		if tail && prefix == "up/" {
			s.tails++
		}
		if tail && s.gone {
			s.mu.Unlock()
			return nil, 0, table.ErrCompacted
		}
		s.rev++
		slow, list, rev := s.slow, s.rows[prefix], s.rev
		if prefix == "up/" {
			s.asks++
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(slow):
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down {
			return nil, 0, table.ErrDown
		}
		return list, rev, nil
	}
	list := func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
		return answer(ctx, prefix, false)
	}
	return table.Table{
		List: list,
		First: func(ctx context.Context, prefix string, limit int) ([]rows.Row, int64, bool, error) {
			rows, rev, err := list(ctx, prefix)
			return rows[:min(limit, len(rows))], rev, len(rows) > limit, err
		},
		Tail: func(ctx context.Context, prefix string, _ int64) ([]rows.Row, int64, error) {
			if prefix == "op/" {
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
				}
			}
			return answer(ctx, prefix, true)
		},
	}
}

// passed returns once what another host passes on.
func (s *source) passed(prefix string, after int64) ([]rows.Row, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix != "up/" || s.pass == nil {
		return nil, 0, false
	}
	list := s.pass
	s.pass = nil
	return list, after + 10, true
}

func (s *source) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// reads returns a function that reads what the test sets under the lock.
func (s *source) reads(flag *bool) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return *flag
	}
}

func reg(key string) rows.Row { return rows.Row{Key: "up/" + key, Value: []byte("ok")} }

func gone(key string) rows.Row { return rows.Row{Key: "up/" + key, Gone: true} }

// start runs an intake; prepare changes it before.
func start(t *testing.T, s *source, prepare ...func(i *intake.Intake)) *intake.Intake {
	i := intake.NewIntake()
	i.Table, i.Conf, i.Targets, i.Log = s.table(), "op/", "up/", zap.NewNop()
	i.Every = func() time.Duration { return time.Second }
	i.Pause = func() time.Duration { return 250 * time.Millisecond }
	i.Rules = func(row rows.Row) (rules.Rules, bool, error) {
		if len(row.Value) == 0 {
			return rules.Rules{}, false, errors.New("unreadable")
		}
		return rules.Rules{Version: int64(row.Value[0])}, true, nil
	}
	i.Target = func(row rows.Row) (target.Target, error) {
		if string(row.Value) != "ok" {
			return target.Target{}, errors.New("unreadable")
		}
		return target.Target{ID: row.Key[3:], Slots: 1}, nil
	}
	i.Version = func(rows.Row) (string, int, bool, error) { return "", 0, false, nil }
	for _, change := range prepare {
		change(i)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go i.RunConf(ctx)
	go i.RunTargets(ctx)
	return i
}

// The store answers with an older configuration after a newer one. Taken, routes that operators have changed would lead to
// the old upstreams again.
func TestOlderConfigurationIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{7}}}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.set(func() { s.rows["op/"] = []rows.Row{{Key: "op/config", Value: []byte{5}}, {Key: "op/config"}} })
		time.Sleep(3 * time.Second)
		if got, want := i.View().Rules.Version, int64(7); got != want {
			t.Errorf("version = %d, want %d", got, want)
		}
	})
}

// All hosts lose power just before a new version of an adapter is named, and start seconds after. A version that is there when a host starts may
// have been named at any time before; counted from the start, requests begin on the older one after its time is over.
func TestVersionFromBeforeTheStartHasNoTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"op/": {{Key: "op/old", Value: []byte{1}}}}}
		i := start(t, s, func(i *intake.Intake) {
			i.Version = func(row rows.Row) (string, int, bool, error) { return row.Key, 2, true, nil }
		})
		time.Sleep(3 * time.Second)
		s.set(func() { s.rows["op/"] = []rows.Row{{Key: "op/new", Value: []byte{2}}} })
		time.Sleep(1500 * time.Millisecond)
		v := i.View()
		if got := v.Named["op/old"][2]; !got.IsZero() || v.Versions["op/old"] != 2 {
			t.Errorf("version of before the start: %d, named %v, want 2 at an unknown time", v.Versions["op/old"], got)
		}
		if got := time.Since(v.Named["op/new"][2]); got > 2*time.Second || v.Versions["op/new"] != 2 {
			t.Errorf("version of after the start: %d, named %v ago, want 2, a moment ago", v.Versions["op/new"], got)
		}
	})
}

// An upstream's registration is dropped while the store works. It gets no more requests.
func TestDroppedUpstreamIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.set(func() { s.rows["up/"] = []rows.Row{gone("a")} })
		time.Sleep(1500 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want b alone", i.View().Targets)
		}
	})
}

// The store was away, and registrations lapsed meanwhile though the upstreams live. Dropped at once, every request would be
// refused until they have registered again; those that do not come back are dropped all the same.
func TestUpstreamsThatLapsedWithTheStoreGetTimeToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.set(func() {
			s.down, s.gone = false, true
			s.rows["up/"] = nil
		})
		time.Sleep(1500 * time.Millisecond)
		if got, want := len(i.View().Targets), 2; got != want {
			t.Fatalf("upstreams = %d, want %d", got, want)
		}
		s.set(func() { s.rows["up/"] = []rows.Row{reg("b")} })
		time.Sleep(3 * time.Second)
		if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want b alone", i.View().Targets)
		}
	})
}

// The store is back and an upstream's registration vanishes a second later. It gets no time of its own: what is missing 2.2 s after
// the return is gone, also where the next regular reading would come later. Counted from when it was missed, requests went
// to an engine that had begun to leave three seconds before.
func TestUpstreamThatVanishesAfterTheReturnGetsNoMoreTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.set(func() { s.down = false })
		time.Sleep(800 * time.Millisecond) // within which the host has read again
		s.set(func() { s.rows["up/"] = []rows.Row{gone("a")} })
		time.Sleep(1900 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok {
			t.Error("a is still used 2.7 s after the store's return, want it gone")
		}
		if _, ok := i.View().Targets["b"]; !ok {
			t.Error("b is not used any more, want it used")
		}
	})
}

// The store turns a host away for seconds while it serves the others, which go on telling it how far they have read. Nothing lapses meanwhile:
// an upstream that vanishes after the host's return is gone at once. And the host need not ask the store at each message: hundreds
// that did would be most of its calls.
func TestHostThatIsTurnedAwayTakesThatForNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s, func(i *intake.Intake) { i.Pause = func() time.Duration { return time.Second } })
		time.Sleep(3 * time.Second)
		s.set(func() { s.down, s.asks = true, 0 })
		for range 40 {
			time.Sleep(200 * time.Millisecond)
			i.Wake(marks.Marks{Age: 300})
		}
		s.set(func() {
			if got, want := s.asks, 2*9; got > want { // a list may follow a tail
				t.Errorf("asked the store %d times in 8 s, want %d at most", got, want)
			}
			s.down = false
		})
		time.Sleep(1100 * time.Millisecond)
		s.set(func() { s.rows["up/"] = []rows.Row{gone("a")} })
		time.Sleep(1100 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok || i.Away() {
			t.Errorf("upstreams = %v, away = %v, want b alone and the store back", i.View().Targets, i.Away())
		}
	})
}

// The store takes long to answer, or its answer crosses a full link. What it says is as of some moment since it was asked; hosts that count the age
// from the answer rely on it for as much longer, and send requests to upstreams that have left meanwhile.
func TestAgeCountsFromTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow = 600 * time.Millisecond
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a")}}, slow: slow}
		i := start(t, s)
		time.Sleep(3*time.Second + 50*time.Millisecond)
		for range 40 {
			// A reading begins each second, and is there 0.6 s later: the newest that is there began 0.6 to 1.6 s ago.
			m, ok := i.Marks()
			if age := time.Duration(m.Age) * time.Millisecond; !ok || age < slow || age > slow+time.Second {
				t.Fatalf("age = %v, %v, want %v at least and no more than a second over it", age, ok, slow)
			}
			time.Sleep(90 * time.Millisecond)
		}
	})
}

// A host that reads for others is suspended, or its time of day is set back, and goes on without another reading. The steady clock counts no
// suspension, the time of day counts what it is told; others would take its last reading for seconds younger than it is.
func TestAgeCountsASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const suspended = 5 * time.Second
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a")}}}
		var jump atomic.Int64
		begun := time.Now()
		i := start(t, s, func(i *intake.Intake) {
			i.Clock = func() time.Duration { return time.Since(begun) + time.Duration(jump.Load()) }
		})
		time.Sleep(3*time.Second + 50*time.Millisecond)
		jump.Store(int64(suspended))
		m, ok := i.Marks()
		if age := time.Duration(m.Age) * time.Millisecond; ok || age < suspended {
			t.Errorf("age = %v, reads for others = %v, want %v at least and not", age, ok, suspended)
		}
	})
}

// The store has forgotten its history, and meanwhile an upstream vanished and another one came. A host that reads for others must tell them
// both: they would go on to use the upstream that is gone, for as long as that host reads on.
func TestWhatAWholeReadingFindsIsToldToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		var mu sync.Mutex
		told, tellsAfter := map[string]rows.Row{}, int64(0)
		i := start(t, s, func(i *intake.Intake) {
			i.Keep = func(prefix string, after, _ int64, list []rows.Row) {
				mu.Lock()
				defer mu.Unlock()
				for _, row := range list {
					if prefix == "up/" {
						told[row.Key], tellsAfter = row, after
					}
				}
			}
		})
		time.Sleep(3500 * time.Millisecond)
		before, _ := i.Marks()
		mu.Lock()
		clear(told)
		mu.Unlock()
		s.set(func() {
			s.gone = true
			s.rows["up/"] = []rows.Row{reg("b"), reg("c")}
		})
		time.Sleep(time.Second)
		after, _ := i.Marks()
		if after.Targets <= before.Targets {
			t.Errorf("mark = %d after %d, want a newer one: others would not ask", after.Targets, before.Targets)
		}
		mu.Lock()
		defer mu.Unlock()
		if got := told["up/a"]; !got.Gone || got.Rev != after.Targets {
			t.Errorf("told of a: %+v, want it gone at %d", got, after.Targets)
		}
		if got, want := len(told), 2; got != want || tellsAfter < before.Targets {
			t.Errorf("told %v after %d, want a and c after %d", told, tellsAfter, before.Targets)
		}
	})
}

// An upstream begins to leave just after a host has read, and another host passes that on. Were it to wait for the next reading, each host on
// its way would use the upstream for as much longer.
func TestPassedOnChangesWaitForNoReading(t *testing.T) {
	for name, relaxed := range map[string]bool{"reads for itself": false, "lets another one read": true} {
		synctest.Test(t, func(t *testing.T) {
			s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
			i := start(t, s, func(i *intake.Intake) {
				i.Relaxed = func() bool { return relaxed }
				i.Every = func() time.Duration { return time.Hour }
				i.Passed = s.passed
			})
			time.Sleep(3 * time.Second)
			s.set(func() { s.pass = []rows.Row{gone("a")} })
			i.Wake(marks.Marks{Targets: 1000})
			synctest.Wait()
			if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
				t.Errorf("%s: upstreams = %v, want b alone at once", name, i.View().Targets)
			}
		})
	}
}

// The store is back, and another host passes on that a registration has vanished, within the time that upstreams get to register again.
// The host lets others read, and must end that time all the same, or it uses the upstream for a minute more.
func TestPassedOnLossEndsWithTheTimeToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		relaxed := false
		i := start(t, s, func(i *intake.Intake) {
			i.Relaxed = s.reads(&relaxed)
			i.Passed = s.passed
		})
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.set(func() { s.down, relaxed = false, true })
		time.Sleep(1700 * time.Millisecond) // it has read again, and rests
		s.set(func() {
			s.pass = []rows.Row{gone("a")}
			s.rows["up/"] = nil
		})
		i.Wake(marks.Marks{Targets: 1000})
		time.Sleep(2 * time.Second)
		if _, ok := i.View().Targets["a"]; ok {
			t.Error("a is still used 3.7 s after the store's return, want it gone")
		}
	})
}

// The store was away from hundreds of hosts, which try it the more rarely the more of them there are. The host that reads for a
// data centre finds it back first; the others must not wait for their own next try, or they would use upstreams that have left
// since for as much longer.
func TestReturnOfTheStoreIsLearntFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s, func(i *intake.Intake) { i.Pause = func() time.Duration { return time.Hour } })
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.set(func() {
			s.down, s.gone = false, true
			s.rows["up/"] = []rows.Row{reg("a")}
		})
		i.Wake(marks.Marks{Age: 100})
		time.Sleep(4 * time.Second)
		if _, ok := i.View().Targets["b"]; ok || i.Away() {
			t.Errorf("upstreams = %v, away = %v, want a alone and the store back", i.View().Targets, i.Away())
		}
	})
}

// A registration is overwritten by something that cannot be read. It names no upstream; the others stay.
func TestUnreadableRegistrationHarmsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), {Key: "up/b", Value: []byte("\xff")}}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		if _, ok := i.View().Targets["a"]; !ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want a alone", i.View().Targets)
		}
	})
}
