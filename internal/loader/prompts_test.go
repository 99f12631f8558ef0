package loader_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/loader"
	"damaskreach/internal/usage"
)

// turnResult is the outcome of one request for a turn.
type turnResult struct {
	cost   time.Duration
	waited time.Duration
	err    error
}

const (
	patience      = 850 * time.Millisecond  // within which an answer must begin to be on time
	callerTimeout = 2800 * time.Millisecond // after which callers leave without a first event
)

// sendPrompts asks for turns as callers of assistants do: Poisson arrivals, prompts that take 70 ms to read on average and
// up to four times that. Half of them are less urgent.
func sendPrompts(t *testing.T, l *loader.Loader, seed uint64, perSecond float64, span time.Duration) []turnResult {
	r := rand.New(rand.NewPCG(seed, 5))
	var mu sync.Mutex
	var turns []turnResult
	var group sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		cost := min(280*time.Millisecond, time.Duration((0.3+r.ExpFloat64())*float64(54*time.Millisecond)))
		w := intent.Intent{
			EngineID: "e", Requester: "h", Model: "m", Adapter: adapterName(0), PromptCost: cost, StallBudget: 230 * time.Millisecond, PauseTail: 30 * time.Millisecond,
			TimeLeft: patience - cost, MaxLoadWait: callerTimeout, Priority: r.IntN(2),
		}
		group.Add(1)
		go func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
			defer cancel()
			begun := time.Now()
			err := l.Admit(ctx, w)
			mu.Lock()
			defer mu.Unlock()
			turns = append(turns, turnResult{cost, time.Since(begun), err})
		}()
	}
	group.Wait()
	return turns
}

// Half of the engines fail at peak load, and the rest get twice the prompts that they can read. In order of arrival every answer
// would be late; requests that can be on time must be, and the others must be refused early.
func TestOverloadedEngineServesRequestsThatCanBeOnTime(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			l := startLoaded(t, newEngine(2))
			turns := sendPrompts(t, l, seed, 20, 20*time.Second)
			var read, late time.Duration
			var refusedAfter []time.Duration
			for _, u := range turns {
				switch {
				case u.err == nil && u.waited <= patience-u.cost:
					read += u.cost
				case u.err == nil:
					late += u.cost
				case errors.Is(u.err, intent.ErrLoadQueueFull):
					refusedAfter = append(refusedAfter, u.waited)
				}
			}
			t.Logf("seed %d: %d asked; read in time %v, late %v; %d refused", seed, len(turns), read, late, len(refusedAfter))
			// An engine spends at most 0.74 of the time on reading.
			if got, want := read.Seconds(), 0.6*20; got < want {
				t.Errorf("seed %d: prompts read in time = %.1f s of 20 s, want at least %.1f", seed, got, want)
			}
			if len(refusedAfter) == 0 {
				t.Errorf("seed %d: no request was refused as too late", seed)
			}
			if sum := mean(refusedAfter); sum > callerTimeout*7/10 {
				t.Errorf("seed %d: mean wait of refused requests = %v, want at most 0.7 of %v", seed, sum, callerTimeout)
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

// Small prompts must not starve large ones on an overloaded engine.
func TestOverloadedEngineServesLargePrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoaded(t, newEngine(2))
		var asked, served, allAsked, allServed float64
		for _, u := range sendPrompts(t, l, 9, 20, 40*time.Second) {
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

// An engine announces to one host that it takes two requests a second. The host that grants the turns enforces the limit for
// all hosts, and refuses at once requests whose turn would come too late.
func TestTurnsRespectTheEngineRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		l := startLoaded(t, e)
		e.ration.Update("e", 2, time.Second)
		granted, slowestRefusal := 0, time.Duration(0)
		for _, u := range sendPrompts(t, l, 3, 10, 20*time.Second) {
			if u.err == nil {
				granted++
			} else {
				slowestRefusal = max(slowestRefusal, u.waited)
			}
		}
		if granted > 42+2 || granted < 36 {
			t.Errorf("%d turns in 20 s at an engine that takes 2 a second, want about 40", granted)
		}
		if slowestRefusal > callerTimeout {
			t.Errorf("a request was refused after %v, want %v at most", slowestRefusal, callerTimeout)
		}
		e.ration.Update("e", 0, 0)
		if err := admit(t, l, adapterName(0)); err != nil {
			t.Errorf("turn after the limit was lifted = %v, want none", err)
		}
	})
}

// The owner of an engine is lost. The host that grants turns in its place counts the requests of all hosts and sends
// no orders.
func TestTurnsAreGrantedForAnEngineOfAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		e.ownedElsewhere, e.slots = true, 4
		l := startLoader(t, e)
		time.Sleep(time.Second)
		w := intent.Intent{EngineID: "e", Requester: "h", Model: "m", Adapter: adapterName(0), PromptCost: time.Millisecond, StallBudget: time.Second, MaxLoadWait: callerTimeout, MaxPromptWait: 10 * time.Millisecond}
		if err := l.Admit(t.Context(), w); !errors.Is(err, intent.ErrNotOwner) {
			t.Errorf("a load at an engine of another host = %v, want %v", err, intent.ErrNotOwner)
		}
		w.Loaded = true
		granted := 0
		for range 10 {
			time.Sleep(20 * time.Millisecond)
			if l.Admit(t.Context(), w) == nil {
				granted++
			}
		}
		if got, want := granted, 4; got != want {
			t.Errorf("%d turns while none of them has ended, want %d, as many as the engine runs", got, want)
		}
		l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e", Running: 2}}, time.Now().Add(time.Second))
		if err := l.Admit(t.Context(), w); err != nil {
			t.Errorf("a turn once two have ended = %v, want nil", err)
		}
		if e.orders > 0 {
			t.Errorf("%d orders to the engine of another host, want none", e.orders)
		}
	})
}
