package giver_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/want"
)

// A quarter of the engines is lost at once with all their streams, at a busy moment. The rest of an answer must not queue behind requests that
// can be refused and come back: its caller would lose what it has. New requests get their turns behind it.
func TestAnswersUnderWayGoBeforeNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := loaded(t, newEngine(2))
		const fresh, begun, cost = 30, 8, 60 * time.Millisecond
		waits := map[bool][]time.Duration{}
		refused := map[bool]int{}
		var mu sync.Mutex
		var group sync.WaitGroup
		start := time.Now()
		for i := range fresh + begun {
			w := want.Want{
				ID: "e", Host: "h", Model: "m", Adapter: name(0), Cost: cost, Room: 230 * time.Millisecond, Tail: 30 * time.Millisecond,
				Patience: patience, Limit: hopeless, Begun: i >= fresh,
			}
			if w.Begun {
				w.Patience, w.Rank = 0, 5
			}
			group.Go(func() {
				err := g.Admit(t.Context(), w)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					refused[w.Begun]++
					return
				}
				waits[w.Begun] = append(waits[w.Begun], time.Since(start))
			})
		}
		group.Wait()
		t.Logf("begun: waited %v, %d refused; new: waited %v, %d refused", waits[true], refused[true], waits[false], refused[false])
		last := time.Duration(0)
		for _, wait := range waits[true] {
			last = max(last, wait)
		}
		if most := (begun + 3) * cost * 3 / 2; refused[true] > 0 || last > most {
			t.Errorf("answers under way: %d refused, the last waited %v; want none, and %v at most", refused[true], last, most)
		}
		if len(waits[false]) == 0 {
			t.Error("no new request got its turn, want some behind them")
		}
	})
}
