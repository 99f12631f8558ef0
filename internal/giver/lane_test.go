package giver_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/giver"
	"damaskreach/internal/usage"
	"damaskreach/internal/want"
)

// turn is one request for a turn: how large its prompt is, how long it waited, and what came of it.
type turn struct {
	cost   time.Duration
	waited time.Duration
	err    error
}

const (
	patience = 850 * time.Millisecond  // of callers, for an answer on time
	hopeless = 2800 * time.Millisecond // from which on callers leave before the first event
)

// ask asks for turns at the engine as the callers of assistants do: Poisson arrivals, prompts with a mean of 70 ms to read
// and some of four times that. Half the prompts are of a less urgent kind.
func ask(t *testing.T, g *giver.Giver, seed uint64, perSecond float64, span time.Duration) []turn {
	r := rand.New(rand.NewPCG(seed, 5))
	var mu sync.Mutex
	var turns []turn
	var group sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		cost := min(280*time.Millisecond, time.Duration((0.3+r.ExpFloat64())*float64(54*time.Millisecond)))
		w := want.Want{
			ID: "e", Host: "h", Model: "m", Adapter: name(0), Cost: cost, Room: 230 * time.Millisecond, Tail: 30 * time.Millisecond,
			Patience: patience - cost, Limit: hopeless, Rank: r.IntN(2),
		}
		group.Add(1)
		go func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(t.Context(), hopeless)
			defer cancel()
			begun := time.Now()
			err := g.Admit(ctx, w)
			mu.Lock()
			defer mu.Unlock()
			turns = append(turns, turn{cost, time.Since(begun), err})
		}()
	}
	group.Wait()
	return turns
}

// Half of the engines are lost at a busy hour, and those that are left are asked for twice what they can read. In order of
// asking, every request would wait for seconds and every answer would be late; the callers that could be served in time
// must be, and those that cannot must be told before they have waited in vain.
func TestFullEngineServesThoseInTimeThatCanBe(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			g := loaded(t, newEngine(2))
			turns := ask(t, g, seed, 20, 20*time.Second)
			var read, late time.Duration
			var told []time.Duration
			for _, u := range turns {
				switch {
				case u.err == nil && u.waited <= patience-u.cost:
					read += u.cost
				case u.err == nil:
					late += u.cost
				case errors.Is(u.err, want.ErrBusy):
					told = append(told, u.waited)
				}
			}
			t.Logf("seed %d: %d asked; read in time %v, late %v; %d told", seed, len(turns), read, late, len(told))
			// An engine reads for 0.74 of the time at most.
			if got, want := read.Seconds(), 0.6*20; got < want {
				t.Errorf("seed %d: prompts read in time = %.1f s of 20 s, want at least %.1f", seed, got, want)
			}
			if len(told) == 0 {
				t.Errorf("seed %d: nobody was told that there is no turn in time", seed)
			}
			if sum := mean(told); sum > hopeless*7/10 {
				t.Errorf("seed %d: mean wait of those that were told = %v, want less than seven tenths of %v", seed, sum, hopeless)
			}
		})
	}
}

func mean(list []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(max(1, len(list)))
}

// Large prompts must not be pushed out by small ones where an engine is full: their callers have waited as long as others.
func TestFullEngineServesLargePromptsToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := loaded(t, newEngine(2))
		var asked, served, allAsked, allServed float64
		for _, u := range ask(t, g, 9, 20, 40*time.Second) {
			allAsked++
			if u.err == nil {
				allServed++
			}
			if u.cost > 140*time.Millisecond {
				asked++
				if u.err == nil {
					served++
				}
			}
		}
		if got, want := served/asked, 0.5*allServed/allAsked; got < want {
			t.Errorf("share of large prompts served = %.2f, want at least %.2f: all have %.2f", got, want, allServed/allAsked)
		}
	})
}

// One host has heard that the engine takes two requests a second, the others have not. The host that grants the turns keeps to it for all,
// and tells at once those whose turn would come too late.
func TestTurnsKeepToTheLimitOfAnEngineInNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		g := loaded(t, e)
		e.ration.Told("e", 2, time.Second)
		granted, told := 0, time.Duration(0)
		for _, u := range ask(t, g, 3, 10, 20*time.Second) {
			if u.err == nil {
				granted++
			} else {
				told = max(told, u.waited)
			}
		}
		if granted > 42+2 || granted < 36 {
			t.Errorf("%d turns in 20 s at an engine that takes 2 a second, want about 40", granted)
		}
		if told > hopeless {
			t.Errorf("a request was told after %v, want %v at most", told, hopeless)
		}
		e.ration.Told("e", 0, 0)
		if err := admit(t, g, name(0)); err != nil {
			t.Errorf("a turn after the need = %v, want it at once", err)
		}
	})
}

// The host that orders an engine is lost. The one that grants the turns in its place has no orders to give, counts what all hosts have there, and
// loads nothing.
func TestTurnsAreGrantedWithoutTheOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		e.foreign, e.slots = true, 4
		g := start(t, e)
		time.Sleep(time.Second)
		w := want.Want{ID: "e", Host: "h", Model: "m", Adapter: name(0), Cost: time.Millisecond, Room: time.Second, Limit: hopeless, Bound: 10 * time.Millisecond}
		if err := g.Admit(t.Context(), w); !errors.Is(err, want.ErrElsewhere) {
			t.Errorf("a load at an engine of another host = %v, want %v", err, want.ErrElsewhere)
		}
		w.Held = true
		granted := 0
		for range 10 {
			time.Sleep(20 * time.Millisecond)
			if g.Admit(t.Context(), w) == nil {
				granted++
			}
		}
		if got, want := granted, 4; got != want {
			t.Errorf("%d turns while none of them has ended, want %d, as many as the engine runs", got, want)
		}
		g.Take([]usage.Usage{{Host: "h", Engine: "e", Running: 2}}, time.Now().Add(time.Second))
		if err := g.Admit(t.Context(), w); err != nil {
			t.Errorf("a turn once two have ended = %v, want nil", err)
		}
		if e.orders > 0 {
			t.Errorf("%d orders to the engine of another host, want none", e.orders)
		}
	})
}
