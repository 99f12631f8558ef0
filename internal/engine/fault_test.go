package engine_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/engine"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/recrd"
	"damaskreach/internal/stand/wstore"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// check compares the refusal in err with the wanted code and verdict.
func check(t *testing.T, what string, err error, code string, verdict verd.Verdict) {
	t.Helper()
	var refusal *refuse.Refusal
	if !errors.As(err, &refusal) || refusal.Code != code || verd.Of(err) != verdict {
		t.Errorf("%s = %v (%v), want %s (%v)", what, err, verd.Of(err), code, verdict)
	}
}

// The engine crashes while it streams. Its connection just ends; were that taken
// for the end of the answer, a caller would act on half of one.
func TestCrashMidStreamIsACutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		client := serve(t, e)
		load(t, client, model)
		got := generate(soon(t), client, 1, ask(model, "p", 50), func(token int) {
			if token == 10 {
				e.Crash()
			}
		})
		check(t, "Generate", got.err, refuse.Crashed, verd.MayHaveRun)
		if end := e.Records()[0].End; end != recrd.Cut {
			t.Errorf("the engine's record ended %q, want %q", end, recrd.Cut)
		}
	})
}

// A prompt crashes the engine after it was accepted. Nothing of an answer has come, but the request
// has run: "not run" would be untrue and would send it on to crash the next engine.
func TestCrashBeforeTheFirstTokenMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Poison = "boom"
		client := serve(t, e)
		load(t, client, model)
		got := generate(soon(t), client, 1, ask(model, "boom", 5), nil)
		check(t, "Generate", got.err, refuse.Crashed, verd.MayHaveRun)
		got = generate(soon(t), client, 1, ask(model, "fine", 5), nil)
		check(t, "Generate while the engine is down", got.err, refuse.NoUpstream, verd.NotRun)
		time.Sleep(e.Restart)
		synctest.Wait()
		got = generate(soon(t), client, 1, ask(model, "fine", 5), nil)
		check(t, "Generate on a cold engine", got.err, refuse.NoUpstream, verd.NotRun)
		if status := engine.Status(got.err); status != 404 {
			t.Errorf("Status = %d, want 404", status)
		}
	})
}

// Nothing was sent: the dial is refused, or is still going on when the caller gives up.
// The caller may go elsewhere at once, also with a booking.
func TestDialThatFailsHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := engine.NewEngine(addr, memnet.NewNet(1).Dial(caller))
		got := generate(soon(t), refused, 1, ask(model, "p", 5), nil)
		check(t, "Generate", got.err, refuse.NoUpstream, verd.NotRun)
		hangs := engine.NewEngine(addr, func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		got = generate(ctx, hangs, 1, ask(model, "p", 5), nil)
		if !errors.Is(got.err, context.DeadlineExceeded) || verd.Of(got.err) != verd.NotRun {
			t.Errorf("Generate = %v (%v), want deadline exceeded, not-run", got.err, verd.Of(got.err))
		}
	})
}

// The connection stands, but the peer is frozen and reads nothing. What the local
// socket took may still arrive after the caller has given up, so it may have run.
func TestRequestHeldByAFrozenPeerMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNet(1)
		lis, _ := network.Listen(addr)
		defer lis.Close()
		client := engine.NewEngine(addr, network.Dial(caller))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		got := generate(ctx, client, 1, ask(model, "p", 5), nil)
		if !errors.Is(got.err, context.DeadlineExceeded) || verd.Of(got.err) != verd.MayHaveRun {
			t.Errorf("Generate = %v (%v), want deadline exceeded, may-have-run", got.err, verd.Of(got.err))
		}
	})
}

// The previous owner of a runner was paused and wakes to act with its old fencing number.
// Engines that honour fences refuse it; others obey, and their reports show no fence.
func TestOldFence(t *testing.T) {
	for _, honours := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := engsim.NewEngine()
			e.Fences = honours
			client := serve(t, e)
			load(t, client, model)
			if err := client.Load(t.Context(), 7, "b@1"); err != nil {
				t.Fatalf("Load with a higher fence = %v, want nil", err)
			}
			start := generate(soon(t), client, 6, ask(model, "p", 2), nil).err
			order := client.Unload(t.Context(), 6, model)
			if honours {
				check(t, "Generate with an old fence", start, refuse.Moved, verd.NotRun)
				check(t, "Unload with an old fence", order, refuse.Moved, verd.NotRun)
				return
			}
			if start != nil || order != nil {
				t.Errorf("Generate, Unload at an engine without fences = %v, %v, want nil, nil", start, order)
			}
		})
	}
}

// A load finds the slots full, fails at the store, or the model asked for is not there.
// Each is a certain "no", so the owner may decide anew at once.
func TestCertainRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Slots = 1
		client := serve(t, e)
		e.FailLoads(1)
		err := client.Load(t.Context(), 1, model)
		check(t, "Load that fails", err, refuse.LoadFailed, verd.NotRun)
		load(t, client, model)
		err = client.Load(t.Context(), 1, "b@1")
		check(t, "Load into full slots", err, refuse.LoadFailed, verd.NotRun)
		if got := engine.Status(err); got != 409 {
			t.Errorf("Status = %d, want 409", got)
		}
		got := generate(soon(t), client, 1, ask("b@1", "p", 2), nil)
		check(t, "Generate on a model not loaded", got.err, refuse.NoUpstream, verd.NotRun)
		if n := len(e.Records()); n != 0 {
			t.Errorf("the engine recorded %d runs, want 0", n)
		}
	})
}

// An engine is ordered to load more models at once than the weight store allows in a second. Those above the
// rate fail at once and for certain, instead of slowing down all others.
func TestLoadsAboveTheStoreRateFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wstore.NewStore()
		store.Speed = 1e15 // a load takes no time
		e := engsim.NewEngine()
		e.Fetch = store.Load
		client := serve(t, e)
		load(t, client, "a0@1", "a1@1", "a2@1")
		for _, m := range []string{"a3@1", "a4@1"} {
			check(t, "Load above the rate", client.Load(t.Context(), 1, m), refuse.LoadFailed, verd.NotRun)
		}
		time.Sleep(time.Second)
		load(t, client, "a3@1", "a4@1")
	})
}

// The caller's side breaks while an answer is passed on. The engine must stop at once instead
// of generating the rest for nobody.
func TestEmitThatFailsStopsTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		client := serve(t, e)
		load(t, client, model)
		gone := errors.New("caller gone")
		head := func(int, string) error { return nil }
		err := client.Generate(soon(t), 1, ask(model, "p", 1000), head, func(int, []byte) error { return gone })
		time.Sleep(5 * time.Millisecond) // less than a step, and more than the network takes
		synctest.Wait()
		if !errors.Is(err, gone) || verd.Of(err) != verd.MayHaveRun {
			t.Errorf("Generate = %v (%v), want %v (may-have-run)", err, verd.Of(err), gone)
		}
		if rec := e.Records()[0]; rec.End != recrd.Cancelled || rec.Tokens > 2 {
			t.Errorf("record = %+v, want it cancelled after a token", rec)
		}
	})
}

// The engine's queue is full. It says that it started nothing, so that the caller may go elsewhere.
func TestFullQueueHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Batch, e.Waiting = 1, 1
		client := serve(t, e)
		load(t, client, model)
		var all sync.WaitGroup
		for range 2 {
			all.Go(func() { generate(soon(t), client, 1, ask(model, "p", 100), nil) })
			time.Sleep(50 * time.Millisecond)
		}
		check(t, "Generate", generate(soon(t), client, 1, ask(model, "p", 1), nil).err, refuse.Overloaded, verd.NotRun)
		all.Wait()
		if n := len(e.Records()); n != 2 {
			t.Errorf("%d records, want 2", n)
		}
	})
}
