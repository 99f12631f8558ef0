package giver_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/usage"
	"damaskreach/internal/want"
)

// Guards against refusing an urgent request as hopeless behind less urgent ones that came before it, while all slots are taken.
func TestUrgentRequestIsNotRefusedBehindOthersWhileAllSlotsAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		e.slots = 1
		g := loaded(t, e)
		w := want.Want{
			ID: "e", Host: "h", Model: "m", Adapter: name(0), Cost: 100 * time.Millisecond, Room: 230 * time.Millisecond,
			Tail: 30 * time.Millisecond, Patience: patience, Limit: time.Second, Rank: 1,
		}
		if err := g.Admit(t.Context(), w); err != nil {
			t.Fatalf("the only slot: %v, want a turn", err)
		}
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() { _ = g.Admit(t.Context(), w) }) // refused or granted behind the urgent one
		}
		time.Sleep(100 * time.Millisecond)
		urgent := w
		urgent.Rank, urgent.Limit = 0, w.Limit/2
		got := make(chan error, 1)
		go func() { got <- g.Admit(t.Context(), urgent) }()
		time.Sleep(100 * time.Millisecond)
		g.Take([]usage.Usage{{Host: "h", Engine: "e"}}, time.Now().Add(time.Second))
		if err := <-got; err != nil {
			t.Errorf("the urgent request = %v, want the next turn", err)
		}
		group.Wait()
	})
}

// A host has had nothing at an engine for nearly as long as its count is believed, and is granted turns. Forgotten with its old count, these
// would be granted to others too, and requests would wait inside the engine.
func TestTurnOfAHostThatWasSilentCounts(t *testing.T) {
	const told = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		e.slots = 1
		g := loaded(t, e)
		g.Take([]usage.Usage{{Host: "h", Engine: "e"}}, time.Now())
		time.Sleep(told - time.Millisecond)
		w := want.Want{
			ID: "e", Host: "h", Model: "m", Adapter: name(0), Cost: time.Millisecond, Room: time.Second, Patience: patience, Limit: time.Second,
		}
		if err := g.Admit(t.Context(), w); err != nil {
			t.Fatalf("the only slot: %v, want a turn", err)
		}
		time.Sleep(100 * time.Millisecond)
		if err := g.Admit(t.Context(), w); err == nil {
			t.Error("a second turn while the first one's request runs, want none")
		}
	})
}
