package loader_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
)

// One team sends many times its usual load to an engine that reads 15 prompts a second. Teams below their share must be served
// as if they were alone; the hot team gets what is left.
func TestHotTeamDoesNotStarveOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoaded(t, newEngine(2))
		const cost, span = 50 * time.Millisecond, 15 * time.Second
		type tally struct {
			asked, onTime, refused int
			waited                 time.Duration
		}
		sums := map[string]*tally{"hot": {}, "small": {}, "smaller": {}}
		var mu sync.Mutex
		var group sync.WaitGroup
		r := rand.New(rand.NewPCG(7, 1))
		for end := time.Now().Add(span); time.Now().Before(end); {
			time.Sleep(time.Duration(r.ExpFloat64() / 44 * float64(time.Second)))
			team := "hot"
			if n := r.IntN(44); n < 3 {
				team = "small"
			} else if n < 4 {
				team = "smaller"
			}
			w := intent.Intent{
				EngineID: "e", Requester: "h", Model: "m", Adapter: adapterName(0), PromptCost: cost, StallBudget: 230 * time.Millisecond, PauseTail: 30 * time.Millisecond,
				TimeLeft: patience, MaxLoadWait: callerTimeout, Team: team, TeamWeight: 1,
			}
			group.Go(func() {
				begun := time.Now()
				err := l.Admit(t.Context(), w)
				mu.Lock()
				defer mu.Unlock()
				one := sums[w.Team]
				one.asked++
				waited := time.Since(begun)
				one.waited += waited
				switch {
				case err != nil:
					one.refused++
				case waited <= patience:
					one.onTime++
				}
			})
		}
		group.Wait()
		for team, one := range sums {
			t.Logf("%s: %d asked, %d on time, %d refused, mean wait %v", team, one.asked, one.onTime, one.refused, one.waited/time.Duration(one.asked))
		}
		for _, team := range []string{"small", "smaller"} {
			one := sums[team]
			if share := float64(one.onTime) / float64(one.asked); share < 0.99 {
				t.Errorf("%s: %.2f on time, want 0.99 of what a team below its share asks for", team, share)
			}
		}
		if one := sums["hot"]; one.onTime+one.refused == 0 || float64(one.onTime) < 8*span.Seconds() {
			t.Errorf("hot: %d on time, want what the others leave, 8 a second or more", one.onTime)
		}
	})
}
