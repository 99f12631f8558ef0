package giver_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/beside"
	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/flow"
	"damaskreach/internal/giver"
	"damaskreach/internal/jitter"
	"damaskreach/internal/model"
	"damaskreach/internal/pool"
	"damaskreach/internal/ration"
	"damaskreach/internal/rules"
	"damaskreach/internal/state"
	"damaskreach/internal/stock"
	"damaskreach/internal/target"
	"damaskreach/internal/view"
	"damaskreach/internal/window"
)

const (
	// modelTime is how long a base model takes from a weight store that is not busy.
	modelTime = 2 * time.Second
	// modelFirst is how long the host under test lets others go first.
	modelFirst = 250 * time.Millisecond
	// modelLook is the pause between two looks at whether a load may begin, and some.
	modelLook = 105 * time.Millisecond
	// atFirst is how many loads begin before any has ended.
	atFirst = 4
)

// empties are engines without a base model, all ordered by one host.
type empties struct {
	mu     sync.Mutex
	begun  map[string]time.Time // when each was ordered to load its base model
	orders map[string]int64
	view   view.View
	others int // loads on their way to engines of other hosts
	before int // hosts that wait and come before
	fast   int // loads that the weight store serves at full speed
}

// newEmpties runs a giver for engines that come later.
func newEmpties(t *testing.T) (*empties, *giver.Giver) {
	e := &empties{begun: map[string]time.Time{}, orders: map[string]int64{}, fast: 64}
	e.view = view.View{
		Rules: rules.Rules{Version: 1, Pools: map[string]pool.Pool{
			"g": {Engine: true, Slots: 4, Places: 2, Memory: 1000, Models: []model.Model{{Name: "m", Adapter: 1, Load: modelTime}}},
		}},
		Targets: map[string]target.Target{},
	}
	begun := time.Now()
	g := &giver.Giver{
		Give: e.give, Ask: e.ask, Fence: func(string) (int64, bool) { return 1, true }, Mine: e.mine, View: e.look,
		Tell: func(stock.Stock) {}, Recall: newEngine(1).recall, Flow: flow.NewFlow(), Jitter: jitter.NewJitter(),
		Ration: ration.NewRation(func() time.Duration { return time.Since(begun) }), Leaves: func(target.Target) bool { return false },
		Unused: func() time.Duration { return time.Second }, Window: func() time.Duration { return 5 * time.Second }, Holder: "h",
		Others: e.beside, Changed: func() {}, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go g.Run(ctx)
	return e, g
}

// add brings engines.
func (e *empties) add(ids ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	targets := map[string]target.Target{}
	for id, t := range e.view.Targets {
		targets[id] = t
	}
	for _, id := range ids {
		targets[id] = target.Target{ID: id, Born: 1, Group: "g", Slots: 4}
	}
	e.view.Targets = targets
}

func (e *empties) look() view.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

func (e *empties) mine() (ids []string) {
	for id := range e.look().Targets {
		ids = append(ids, id)
	}
	return ids
}

func (e *empties) beside() beside.Beside {
	e.mu.Lock()
	defer e.mu.Unlock()
	return beside.Beside{Loading: e.others, Before: e.before, Step: modelFirst}
}

// tell sets how many loads are on their way to engines of other hosts.
func (e *empties) tell(others int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.others = others
}

// has reports whether an engine holds its base model. Loads beside others take as much longer as there are more than the store serves at full speed.
func (e *empties) has(id string) bool {
	at, ok := e.begun[id]
	takes := modelTime * time.Duration(max(e.fast, len(e.begun)+e.others)) / time.Duration(e.fast)
	return ok && time.Since(at) >= takes
}

func (e *empties) give(_ context.Context, c change.Change) (effect.Effect, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := c.Target.ID
	_, under := e.begun[id]
	switch {
	case c.Sequence != e.orders[id]:
		return effect.Conflict, nil
	case e.has(id):
		return effect.Done, nil
	case !under:
		e.begun[id] = time.Now()
		e.orders[id]++
	}
	return effect.Accepted, nil
}

func (e *empties) ask(_ context.Context, c change.Change) (state.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := state.State{Born: 1, Sequence: e.orders[c.Target.ID]}
	if e.has(c.Target.ID) {
		s.Models = []string{"m"}
	}
	return s, nil
}

// loading returns how many engines were ordered to load their base model.
func (e *empties) loading() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.begun)
}

// A host that lets others go first does so anew while any of them loads, and never begins a load beside theirs that it knows to be as fast.
func TestBaseModelIsLoadedBesideThatOfAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newEmpties(t)
		e.add("e0")
		time.Sleep(2 * modelTime)
		e.tell(1)
		e.add("e1")
		time.Sleep(time.Second)
		if got, want := e.loading(), 2; got != want {
			t.Errorf("%d base models were ordered a second after another engine came, want %d", got, want)
		}
	})
}

// Hosts that wait for the same load to end would all begin as it does, did each not let others go first for a time of its own.
func TestHostLetsOthersBeginABaseModelFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newEmpties(t)
		e.before = 1
		e.tell(atFirst)
		e.add("e0")
		time.Sleep(time.Second)
		if got := e.loading(); got != 0 {
			t.Fatalf("%d base models were ordered beside %d of other hosts, want none before any was seen to be as fast", got, atFirst)
		}
		e.tell(atFirst - 1)
		ended := time.Now()
		for e.loading() == 0 && time.Since(ended) < 2*time.Second {
			time.Sleep(time.Millisecond)
		}
		if got, want := time.Since(ended), modelFirst; got < want-modelLook || got > want+2*modelLook {
			t.Errorf("the next load began %v after the end of the one before, want some %v", got, want)
		}
	})
}

// A host that has loaded nothing itself begins with one load, whatever the loads of others taught these.
func TestHostUsesWhatOthersLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, g := newEmpties(t)
		g.Learn(window.Window{Size: 3, Lesson: 1})
		e.add("e0", "e1", "e2", "e3")
		time.Sleep(time.Second + 3*modelFirst)
		if got, want := e.loading(), 3; got != want {
			t.Errorf("%d base models were ordered at once, want %d as another host has learned", got, want)
		}
	})
}

// Hosts that are not told of slow loads let as many begin as before.
func TestHostTellsWhatItsSlowLoadsTaught(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, g := newEmpties(t)
		g.Learn(window.Window{Size: 3, Lesson: 1})
		e.fast = 1
		e.add("e0", "e1", "e2")
		time.Sleep(10 * modelTime)
		got := g.Learned()
		if got.Loads() != 1 || !got.Cut || got.Lesson <= 1 {
			t.Errorf("after three loads at once that took three times as long the host tells %+v, want one at a time and more lessons than it was told of", got)
		}
	})
}

// Did hosts pass on what they were told as their own, each load would have every host tell all others.
func TestHostTellsNothingOfWhatItWasTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newEmpties(t)
		g.Learn(window.Window{Size: 9, Lesson: 2})
		if got, want := g.Learned(), (window.Window{}); got != want {
			t.Errorf("Learned() = %+v, want %+v", got, want)
		}
	})
}
