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

// checkRefusal checks that err is a refusal with the given code and verdict.
func checkRefusal(t *testing.T, operation string, err error, code string, verdict verd.Verdict) {
	t.Helper()
	var refusal *refuse.Refusal
	if !errors.As(err, &refusal) || refusal.Code != code || verd.Of(err) != verdict {
		t.Errorf("%s = %v (%v), want %s (%v)", operation, err, verd.Of(err), code, verdict)
	}
}

// An engine that crashes while it streams just closes its connection; taken for the
// end of the answer, that would give the caller a truncated one.
func TestCrashMidStreamIsACutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		client := serve(t, e)
		load(t, client, model)
		got := generate(testContext(t), client, 1, newCall(model, "p", 50), func(token int) {
			if token == 10 {
				e.Crash()
			}
		})
		checkRefusal(t, "Generate", got.err, refuse.Crashed, verd.MayHaveRun)
		if end := e.Records()[0].End; end != recrd.Cut {
			t.Errorf("the engine's record ended %q, want %q", end, recrd.Cut)
		}
	})
}

// A prompt that crashes the engine after it was accepted has run, although no token arrived.
// Reported as not run, it would be retried and crash the next engine.
func TestCrashBeforeTheFirstTokenMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Poison = "boom"
		client := serve(t, e)
		load(t, client, model)
		got := generate(testContext(t), client, 1, newCall(model, "boom", 5), nil)
		checkRefusal(t, "Generate", got.err, refuse.Crashed, verd.MayHaveRun)
		got = generate(testContext(t), client, 1, newCall(model, "fine", 5), nil)
		checkRefusal(t, "Generate while the engine is down", got.err, refuse.NoUpstream, verd.NotRun)
		time.Sleep(e.Restart)
		synctest.Wait()
		got = generate(testContext(t), client, 1, newCall(model, "fine", 5), nil)
		checkRefusal(t, "Generate on a cold engine", got.err, refuse.NoUpstream, verd.NotRun)
		if status := engine.Status(got.err); status != 404 {
			t.Errorf("Status = %d, want 404", status)
		}
	})
}

// Nothing was sent if the dial is refused or still in progress when the caller gives up,
// so the caller may retry elsewhere at once, even a booking.
func TestFailedDialHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := engine.NewEngine(addr, memnet.NewNet(1).Dial(caller))
		got := generate(testContext(t), refused, 1, newCall(model, "p", 5), nil)
		checkRefusal(t, "Generate", got.err, refuse.NoUpstream, verd.NotRun)
		hangs := engine.NewEngine(addr, func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		got = generate(ctx, hangs, 1, newCall(model, "p", 5), nil)
		if !errors.Is(got.err, context.DeadlineExceeded) || verd.Of(got.err) != verd.NotRun {
			t.Errorf("Generate = %v (%v), want deadline exceeded, not-run", got.err, verd.Of(got.err))
		}
	})
}

// The peer is frozen and reads nothing. Bytes that the local socket accepted may still
// arrive after the caller has given up, so the request may have run.
func TestRequestHeldByAFrozenPeerMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNet(1)
		lis, _ := network.Listen(addr)
		defer lis.Close()
		client := engine.NewEngine(addr, network.Dial(caller))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		got := generate(ctx, client, 1, newCall(model, "p", 5), nil)
		if !errors.Is(got.err, context.DeadlineExceeded) || verd.Of(got.err) != verd.MayHaveRun {
			t.Errorf("Generate = %v (%v), want deadline exceeded, may-have-run", got.err, verd.Of(got.err))
		}
	})
}

// A former owner resumes after a pause and uses its old fencing token.
// Engines with fencing refuse it; others obey, and their reports show no fencing token.
func TestOldFencingToken(t *testing.T) {
	for _, honours := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := engsim.NewEngine()
			e.Fences = honours
			client := serve(t, e)
			load(t, client, model)
			if err := client.Load(t.Context(), 7, "b@1"); err != nil {
				t.Fatalf("Load with a higher fence = %v, want nil", err)
			}
			start := generate(testContext(t), client, 6, newCall(model, "p", 2), nil).err
			order := client.Unload(t.Context(), 6, model)
			if honours {
				checkRefusal(t, "Generate with an old fence", start, refuse.Moved, verd.NotRun)
				checkRefusal(t, "Unload with an old fence", order, refuse.Moved, verd.NotRun)
				return
			}
			if start != nil || order != nil {
				t.Errorf("Generate, Unload at an engine without fences = %v, %v, want nil, nil", start, order)
			}
		})
	}
}

// A load finds no free slot or fails at the weight store, or a request names a model that isn't loaded.
// Each refusal is definite, so the owner may decide again at once.
func TestRefusalsBeforeStartHaveNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Slots = 1
		client := serve(t, e)
		e.FailLoads(1)
		err := client.Load(t.Context(), 1, model)
		checkRefusal(t, "Load that fails", err, refuse.LoadFailed, verd.NotRun)
		load(t, client, model)
		err = client.Load(t.Context(), 1, "b@1")
		checkRefusal(t, "Load into full slots", err, refuse.LoadFailed, verd.NotRun)
		if got := engine.Status(err); got != 409 {
			t.Errorf("Status = %d, want 409", got)
		}
		got := generate(testContext(t), client, 1, newCall("b@1", "p", 2), nil)
		checkRefusal(t, "Generate on a model not loaded", got.err, refuse.NoUpstream, verd.NotRun)
		if n := len(e.Records()); n != 0 {
			t.Errorf("the engine recorded %d runs, want 0", n)
		}
	})
}

// Loads above the weight store's rate limit must fail at once with a definite refusal
// instead of slowing down all others.
func TestLoadsAboveTheStoreRateFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wstore.NewStore()
		store.Speed = 1e15 // a load takes no time
		e := engsim.NewEngine()
		e.Fetch = store.Load
		client := serve(t, e)
		load(t, client, "a0@1", "a1@1", "a2@1")
		for _, m := range []string{"a3@1", "a4@1"} {
			checkRefusal(t, "Load above the rate", client.Load(t.Context(), 1, m), refuse.LoadFailed, verd.NotRun)
		}
		time.Sleep(time.Second)
		load(t, client, "a3@1", "a4@1")
	})
}

// The caller's connection breaks during an answer. The engine must stop at once instead
// of generating the remaining tokens.
func TestEmitErrorStopsTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		client := serve(t, e)
		load(t, client, model)
		gone := errors.New("caller gone")
		head := func(int, string) error { return nil }
		err := client.Generate(testContext(t), 1, newCall(model, "p", 1000), head, func(int, []byte) error { return gone })
		time.Sleep(5 * time.Millisecond) // less than one step of the engine, more than the network latency
		synctest.Wait()
		if !errors.Is(err, gone) || verd.Of(err) != verd.MayHaveRun {
			t.Errorf("Generate = %v (%v), want %v (may-have-run)", err, verd.Of(err), gone)
		}
		if rec := e.Records()[0]; rec.End != recrd.Cancelled || rec.Tokens > 2 {
			t.Errorf("record = %+v, want it cancelled after a token", rec)
		}
	})
}

// An engine whose queue is full reports that it started nothing, so the caller may retry elsewhere.
func TestFullQueueHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Batch, e.Waiting = 1, 1
		client := serve(t, e)
		load(t, client, model)
		var all sync.WaitGroup
		for range 2 {
			all.Go(func() { generate(testContext(t), client, 1, newCall(model, "p", 100), nil) })
			time.Sleep(50 * time.Millisecond)
		}
		checkRefusal(t, "Generate", generate(testContext(t), client, 1, newCall(model, "p", 1), nil).err, refuse.Overloaded, verd.NotRun)
		all.Wait()
		if n := len(e.Records()); n != 2 {
			t.Errorf("%d records, want 2", n)
		}
	})
}
