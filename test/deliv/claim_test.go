//go:build !race

package deliv_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"damaskreach/internal/entry"
	"damaskreach/internal/seen"
	"damaskreach/internal/table"
	"damaskreach/internal/trial"
	"damaskreach/pkg/refuse"
)

const booking = `{"slot":7}`

// A caller with slow connections sends one booking repeatedly, through all nodes at once, with the same idempotency key. It must
// run once, and every repeat must get the answer of that run.
func TestConcurrentRepeatsOfOneKeyRunOnce(t *testing.T) {
	run(t, 6, 0, 3, func(t *testing.T, f *trial.Trial) {
		for _, p := range f.Site.Plains {
			p.Slow(300 * time.Millisecond)
		}
		var all sync.WaitGroup
		for i := range 240 {
			all.Go(func() {
				pass(time.Duration(i%7) * 10 * time.Millisecond)
				if s := f.Book(t.Context(), i%6, "key", booking); !s.Whole {
					t.Errorf("repeat %d got %+v, want the answer", i, s)
				}
			})
		}
		all.Wait()
		if got := len(f.Records()); got != 1 {
			t.Errorf("%d executions of 240 repeats, want 1", got)
		}
	})
}

// A caller gives up on a slow booking and retries it at once through another node. The first attempt continues without its
// caller, and the retry gets its answer.
func TestCallerGoesAwayAndSendsAgain(t *testing.T) {
	run(t, 3, 0, 1, func(t *testing.T, f *trial.Trial) {
		f.Site.Plains[0].Slow(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		f.Book(ctx, 0, "key", booking)
		s := f.Book(t.Context(), 1, "key", booking)
		if !s.Whole || !s.Replay {
			t.Errorf("the repeat got %+v, want the first one's answer", s)
		}
		if got := len(f.Records()); got != 1 {
			t.Errorf("%d executions, want 1", got)
		}
	})
}

// An answer comes after the caller's own timeout, when the caller has already retried. The late answer must not be
// taken for that of another request, and must reach the retry.
func TestAnswerComesAfterATimeoutAndARetry(t *testing.T) {
	run(t, 3, 0, 1, func(t *testing.T, f *trial.Trial) {
		f.Site.Plains[0].Slow(3 * time.Second)
		var all sync.WaitGroup
		for i := range 5 {
			key, body := fmt.Sprintf("key-%d", i), fmt.Sprintf(`{"slot":%d}`, i)
			for try := range 4 {
				all.Go(func() {
					pass(time.Duration(try) * time.Second)
					ctx, cancel := context.WithTimeout(t.Context(), time.Second+time.Duration(try/3)*time.Minute)
					defer cancel()
					s := f.Book(ctx, (i+try)%3, key, body)
					if try == 3 && !s.Whole {
						t.Errorf("the last repeat of %s got %+v, want the answer", key, s)
					}
				})
			}
		}
		all.Wait()
		if got := len(f.Records()); got != 5 {
			t.Errorf("%d executions, want 5", got)
		}
	})
}

// The node that serves a booking crashes at any step from before its claim until after its answer. The caller retries
// through another node, which knows the claim from the table only. It must not run the booking a second time, and must report
// what is known once the session of the crashed node has ended.
func TestNodeDiesHoldingAClaim(t *testing.T) {
	for _, at := range []time.Duration{0, 2, 8, 15, 21, 23, 25, 30, 40, 60, 72, 74, 80, 95, 110} {
		t.Run(fmt.Sprint(at*time.Millisecond), func(t *testing.T) {
			run(t, 4, 0, 1, func(t *testing.T, f *trial.Trial) {
				f.Site.Plains[0].Slow(50 * time.Millisecond)
				dies := (f.Owner("booking-0") + 1) % 4
				time.AfterFunc(at*time.Millisecond, func() { f.Site.Net.Kill(siteHost(dies)) })
				f.Book(t.Context(), dies, "key", booking)
				f.Kill(dies)
				var s seen.Seen
				for range 20 {
					s = f.Book(t.Context(), (dies+1)%4, "key", booking)
					if s.Whole || s.Replay {
						break
					}
					if s.Retry == 0 {
						t.Errorf("a repeat got %+v, want a Retry-After until the outcome is known", s)
					}
					pass(s.Retry)
				}
				if !s.Whole && (s.Code != refuse.Repeat || s.Verdict != "may-have-run") {
					t.Errorf("the repeats got %+v in the end, want the answer or %s", s, refuse.Repeat)
				}
			})
		})
	}
}

// A node crashes while it holds the claim of an idempotent request. The request may run again, so the retry must be
// served instead of being refused as in progress for ever.
func TestIdempotentClaimOfADeadNodeIsTakenOver(t *testing.T) {
	run(t, 4, 2, 0, func(t *testing.T, f *trial.Trial) {
		headers := map[string]string{entry.HeaderKey: "key"}
		time.AfterFunc(100*time.Millisecond, func() { f.Kill(0) })
		f.Complete(t.Context(), 0, trial.Model(0), "note", 40, headers)
		for range 20 {
			s := f.Complete(t.Context(), 1, trial.Model(0), "note", 40, headers)
			if s.Whole {
				return
			}
			pass(max(s.Retry, 100*time.Millisecond))
		}
		t.Error("the repeat was not served, want its answer once the dead node's session had ended")
	})
}

// The table service writes a claim, but its answer is lost. The node does not know whether the claim is its own, and must read
// it: it must neither refuse the request for good nor run it twice.
func TestClaimIsWrittenAndItsAnswerIsLost(t *testing.T) {
	run(t, 3, 0, 1, func(t *testing.T, f *trial.Trial) {
		for i := range 5 {
			f.Site.DB.LoseAnswers(1 + i)
			s := again(t, f, i%3, fmt.Sprintf("key-%d", i), booking)
			if !s.Whole {
				t.Errorf("booking %d got %+v, want its answer", i, s)
			}
			pass(time.Minute)
		}
		if got := len(f.Records()); got != 5 {
			t.Errorf("%d executions, want 5", got)
		}
	})
}

// The table service is down, so that no key can be claimed. A booking with a key is refused at once as not run, with a
// Retry-After; requests without keys are served. After the outage the same key is served.
func TestTableDown(t *testing.T) {
	run(t, 3, 1, 1, func(t *testing.T, f *trial.Trial) {
		f.Site.DB.SetDown(true)
		s := f.Book(t.Context(), 0, "key", booking)
		if s.Code != refuse.TableDown || s.Verdict != "not-run" || s.Retry == 0 || s.Took > time.Second {
			t.Errorf("a booking got %+v, want %s and not-run within a second, with a Retry-After", s, refuse.TableDown)
		}
		if s := f.Complete(t.Context(), 0, trial.Model(0), "note", tokens, nil); !s.Whole {
			t.Errorf("a completion got %+v, want its answer", s)
		}
		if s := f.Book(t.Context(), 0, "", `{"slot":8}`); !s.Whole {
			t.Errorf("a booking without a key got %+v, want its answer", s)
		}
		f.Site.DB.SetDown(false)
		pass(10 * time.Second)
		if s := f.Book(t.Context(), 1, "key", booking); !s.Whole {
			t.Errorf("after the outage the booking got %+v, want its answer", s)
		}
	})
}

// The outage begins after a booking was claimed and ends after it was answered, so that its outcome could not be written in
// time. It must be written later: a retry must get the answer, not that the outcome is unknown.
func TestTableGoesDownBetweenClaimAndOutcome(t *testing.T) {
	run(t, 3, 0, 1, func(t *testing.T, f *trial.Trial) {
		f.Site.Plains[0].Slow(time.Second)
		time.AfterFunc(500*time.Millisecond, func() { f.Site.DB.SetDown(true) })
		time.AfterFunc(8*time.Second, func() { f.Site.DB.SetDown(false) })
		if s := f.Book(t.Context(), 0, "key", booking); !s.Whole {
			t.Errorf("the booking got %+v, want its answer", s)
		}
		pass(30 * time.Second)
		if s := f.Book(t.Context(), 1, "key", booking); !s.Whole || !s.Replay {
			t.Errorf("its repeat got %+v, want the first one's answer", s)
		}
	})
}

// A caller wrongly uses a key again for another booking. Neither booking may be answered with the outcome of the
// other.
func TestKeyIsUsedForAnotherRequest(t *testing.T) {
	run(t, 3, 0, 1, func(t *testing.T, f *trial.Trial) {
		f.Book(t.Context(), 0, "key", booking)
		pass(time.Second)
		s := f.Book(t.Context(), 1, "key", `{"slot":8}`)
		if s.Code != refuse.BadRequest || s.Verdict != "not-run" {
			t.Errorf("the second booking got %+v, want %s", s, refuse.BadRequest)
		}
		rows, _, err := f.Site.DB.Table().List(t.Context(), table.PrefixClaim)
		if err != nil || len(rows) != 1 {
			t.Errorf("%d claims, error %v, want 1", len(rows), err)
		}
	})
}
