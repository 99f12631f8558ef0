package loader_test

import (
	"sync"
	"testing"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/usage"
)

// BenchmarkBurstOfGrants measures the time to grant turns to a burst of waiting requests once their slots are free.
func BenchmarkBurstOfGrants(b *testing.B) {
	const burst, cost, slot = 256, time.Millisecond, 200 * time.Millisecond // each waiter adds slot and cost to the queue wait while slots are taken
	e := newEngine(2)
	e.ownedElsewhere, e.slots = true, burst
	l := newLoader(e)
	go l.Run(b.Context())
	w := intent.Intent{
		EngineID: "e", Requester: "h", Model: "m", Adapter: adapterName(0), Loaded: true, PromptCost: cost, StallBudget: time.Hour, PauseTail: time.Millisecond, TimeLeft: time.Hour,
	}
	time.Sleep(time.Millisecond)
	at := time.Now()
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		at = at.Add(time.Second)
		l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e", Running: burst}}, at)
		var group sync.WaitGroup
		for i := range burst {
			one := w
			one.Priority = i % 3
			group.Go(func() {
				if err := l.Admit(b.Context(), one); err != nil {
					b.Error(err)
				}
			})
		}
		for l.QueueWaits(func(string) bool { return true })["e"] < burst*(slot+cost) {
			time.Sleep(time.Millisecond)
		}
		at = at.Add(time.Second)
		b.StartTimer()
		l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e"}}, at)
		group.Wait()
	}
}
