package loader_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
)

// A quarter of the engines fails under load. The rest of a started answer must not queue behind new requests: if refused, its
// caller loses the part that it has, while new requests can be retried.
func TestStartedAnswersGoBeforeNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoaded(t, newEngine(2))
		const fresh, begun, cost = 30, 8, 60 * time.Millisecond
		waits := map[bool][]time.Duration{}
		refused := map[bool]int{}
		var mu sync.Mutex
		var group sync.WaitGroup
		start := time.Now()
		for i := range fresh + begun {
			w := intent.Intent{
				EngineID: "e", Requester: "h", Model: "m", Adapter: adapterName(0), PromptCost: cost, StallBudget: 230 * time.Millisecond, PauseTail: 30 * time.Millisecond,
				TimeLeft: patience, MaxLoadWait: callerTimeout, Streaming: i >= fresh,
			}
			if w.Streaming {
				w.TimeLeft, w.Priority = 0, 5
			}
			group.Go(func() {
				err := l.Admit(t.Context(), w)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					refused[w.Streaming]++
					return
				}
				waits[w.Streaming] = append(waits[w.Streaming], time.Since(start))
			})
		}
		group.Wait()
		t.Logf("begun: waited %v, %d refused; new: waited %v, %d refused", waits[true], refused[true], waits[false], refused[false])
		last := time.Duration(0)
		for _, wait := range waits[true] {
			last = max(last, wait)
		}
		if maxWait := (begun + 3) * cost * 3 / 2; refused[true] > 0 || last > maxWait {
			t.Errorf("started answers: %d refused, the last waited %v; want none, and %v at most", refused[true], last, maxWait)
		}
		if len(waits[false]) == 0 {
			t.Error("no new request got its turn, want some behind them")
		}
	})
}
