package loader_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/usage"
)

// An urgent request must not be refused as hopeless because of less urgent ones that arrived earlier, while all slots are taken.
func TestUrgentRequestIsNotRefusedBehindLessUrgentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		e.slots = 1
		l := startLoaded(t, e)
		w := intent.Intent{
			EngineID: "e", Requester: "h", Model: "m", Adapter: adapterName(0), PromptCost: 100 * time.Millisecond, StallBudget: 230 * time.Millisecond,
			PauseTail: 30 * time.Millisecond, TimeLeft: patience, MaxLoadWait: time.Second, Priority: 1,
		}
		if err := l.Admit(t.Context(), w); err != nil {
			t.Fatalf("the only slot: %v, want a turn", err)
		}
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() { _ = l.Admit(t.Context(), w) }) // refused, or granted behind the urgent one
		}
		time.Sleep(100 * time.Millisecond)
		urgent := w
		urgent.Priority, urgent.MaxLoadWait = 0, w.MaxLoadWait/2
		got := make(chan error, 1)
		go func() { got <- l.Admit(t.Context(), urgent) }()
		time.Sleep(100 * time.Millisecond)
		l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e"}}, time.Now().Add(time.Second))
		if err := <-got; err != nil {
			t.Errorf("the urgent request = %v, want the next turn", err)
		}
		group.Wait()
	})
}

// A host without requests is granted turns just before its last count expires. If the grants expired with it, the engine would
// be overfilled and requests would wait inside it.
func TestGrantCountsAfterUsageExpires(t *testing.T) {
	const usageTTL = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		e.slots = 1
		l := startLoaded(t, e)
		l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e"}}, time.Now())
		time.Sleep(usageTTL - time.Millisecond)
		w := intent.Intent{
			EngineID: "e", Requester: "h", Model: "m", Adapter: adapterName(0), PromptCost: time.Millisecond, StallBudget: time.Second, TimeLeft: patience, MaxLoadWait: time.Second,
		}
		if err := l.Admit(t.Context(), w); err != nil {
			t.Fatalf("the only slot: %v, want a turn", err)
		}
		time.Sleep(100 * time.Millisecond)
		if err := l.Admit(t.Context(), w); err == nil {
			t.Error("a second turn while the first one's request runs, want none")
		}
	})
}
