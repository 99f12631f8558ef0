package giver_test

import (
	"sync"
	"testing"
	"time"

	"damaskreach/internal/usage"
	"damaskreach/internal/want"
)

// BenchmarkBurstOfGrants measures how long it takes until a burst that waits for slots has its turns once the slots are free.
func BenchmarkBurstOfGrants(b *testing.B) {
	const burst, cost, slot = 256, time.Millisecond, 200 * time.Millisecond // what one that waits counts for while slots are taken: slot and cost
	e := newEngine(2)
	e.foreign, e.slots = true, burst
	g := build(e)
	go g.Run(b.Context())
	w := want.Want{
		ID: "e", Host: "h", Model: "m", Adapter: name(0), Held: true, Cost: cost, Room: time.Hour, Tail: time.Millisecond, Patience: time.Hour,
	}
	time.Sleep(time.Millisecond)
	at := time.Now()
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		at = at.Add(time.Second)
		g.Take([]usage.Usage{{Host: "h", Engine: "e", Running: burst}}, at)
		var group sync.WaitGroup
		for i := range burst {
			one := w
			one.Rank = i % 3
			group.Go(func() {
				if err := g.Admit(b.Context(), one); err != nil {
					b.Error(err)
				}
			})
		}
		for g.Waits(func(string) bool { return true })["e"] < burst*(slot+cost) {
			time.Sleep(time.Millisecond)
		}
		at = at.Add(time.Second)
		b.StartTimer()
		g.Take([]usage.Usage{{Host: "h", Engine: "e"}}, at)
		group.Wait()
	}
}
