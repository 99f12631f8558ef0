//go:build !race

package deliv_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/entry"
	"damaskreach/internal/seen"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/trial"
	"damaskreach/pkg/refuse"
)

const (
	tokens   = 8
	bookTime = 10 * time.Millisecond // from the execution of a booking to its answer
	mostTry  = 20
)

// hop returns the pairs of hosts whose connections a request to entry uses.
type hop struct {
	name  string
	pairs func(f *trial.Trial, entry int) [][2]string
}

func hops() []hop {
	caller := func(_ *trial.Trial, entry int) [][2]string {
		return [][2]string{{site.CallerHost, site.Host(entry)}}
	}
	peers := func(f *trial.Trial, entry int) [][2]string {
		var pairs [][2]string
		for i := range f.Nodes {
			if i != entry {
				pairs = append(pairs, [2]string{site.Host(entry), site.Host(i)})
			}
		}
		return pairs
	}
	upstreams := func(f *trial.Trial, _ int) [][2]string {
		var pairs [][2]string
		for i := range f.Nodes {
			pairs = append(pairs, [2]string{site.Host(i), site.EngineHost(0)}, [2]string{site.Host(i), site.PlainHost(0)},
				[2]string{site.Host(i), site.PlainHost(1)})
		}
		return pairs
	}
	return []hop{{"caller and entry", caller}, {"entry and owner", peers}, {"owner and upstream", upstreams}}
}

// offsets are moments of a request that takes about 100 ms, denser at its start.
func offsets() []time.Duration {
	var all []time.Duration
	for at := time.Duration(0); at < 130*time.Millisecond; at += 300*time.Microsecond + at/8 {
		all = append(all, at)
	}
	return all
}

// again retries a booking with its idempotency key until it is answered or its outcome is reported as unknown.
func again(t *testing.T, f *trial.Trial, entry int, key, body string) seen.Seen {
	t.Helper()
	var s seen.Seen
	for range mostTry {
		s = f.Book(t.Context(), entry, key, body)
		if s.Whole || s.Code != "" && s.Verdict != "not-run" && s.Retry == 0 {
			return s
		}
		pass(max(s.Retry, 100*time.Millisecond))
	}
	t.Errorf("booking %s got %+v after %d tries, want an answer or its outcome", key, s, mostTry)
	return s
}

// Connections break at one hop, at any moment from before a request is sent until after its answer. The caller gets a
// broken answer or an error, and retries. A booking must not run twice, and no answer may be another's or incomplete.
func TestConnectionBreaks(t *testing.T) {
	for _, h := range hops() {
		t.Run(h.name, func(t *testing.T) {
			run(t, 3, 2, 2, func(t *testing.T, f *trial.Trial) {
				for _, p := range f.Site.Plains {
					p.Slow(bookTime)
				}
				for i, at := range offsets() {
					breakAt(t, f, h, i, at)
				}
			})
		})
	}
}

func breakAt(t *testing.T, f *trial.Trial, h hop, i int, at time.Duration) {
	node := i % f.Nodes
	time.AfterFunc(at, func() {
		for _, p := range h.pairs(f, node) {
			f.Site.Net.Break(p[0], p[1])
		}
	})
	done := make(chan seen.Seen)
	go func() {
		done <- f.Complete(t.Context(), node, trial.Model(i), fmt.Sprintf("note %d", i), tokens, nil)
	}()
	key, body := fmt.Sprintf("key-%d", i), fmt.Sprintf(`{"slot":%d}`, i)
	f.Book(t.Context(), node, key, body)
	<-done
	pass(time.Second)
	again(t, f, (node+1)%f.Nodes, key, body)
	s := f.Complete(t.Context(), node, trial.Model(i), fmt.Sprintf("note %d", i), tokens, nil)
	if !s.Whole {
		t.Errorf("after a break at %v the repeat got %+v, want a whole answer", at, s)
	}
}

// An upstream's answer to a booking is lost, and its caller retries it with the same idempotency key. The retry must not run: it gets
// the answer of the first attempt, or is told that the first may have run.
func TestAnswerOfABookingIsLost(t *testing.T) {
	run(t, 3, 0, 1, func(t *testing.T, f *trial.Trial) {
		f.Site.Plains[0].CutAnswers(1)
		first := f.Book(t.Context(), 0, "key", `{"slot":1}`)
		if first.Verdict != "may-have-run" || first.Code != refuse.Crashed || first.Retry == 0 {
			t.Errorf("first booking got %+v, want %s and may-have-run with a Retry-After", first, refuse.Crashed)
		}
		pass(time.Second)
		second := f.Book(t.Context(), 1, "key", `{"slot":1}`)
		if second.Verdict != "may-have-run" || !second.Replay {
			t.Errorf("its repeat got %+v, want the first one's outcome", second)
		}
		if got := len(f.Records()); got != 1 {
			t.Errorf("%d executions, want 1", got)
		}
	})
}

// One service executes an idempotent call and crashes before it answers, and the other is down. The last attempt has not run, but
// the first one has: with the verdict of the last attempt alone, the caller would take the call for not run.
func TestVerdictCoversAllTries(t *testing.T) {
	run(t, 3, 0, 2, func(t *testing.T, f *trial.Trial) {
		for n := range 2 {
			f.Site.Plains[n].CrashAfter(1)
			f.Site.Plains[1-n].Crash()
			headers := map[string]string{entry.HeaderOnce: "false", entry.HeaderRequest: f.ID()}
			f.Judge.Sent(headers[entry.HeaderRequest], "", false, "", "")
			status, h, body, err := f.Site.Book(t.Context(), 0, "/slots", `{"slot":1}`, headers)
			s := seen.NewSeen(status, h, body, err, 0)
			f.Judge.Got(headers[entry.HeaderRequest], s.Status, s.Verdict, s.Whole, s.Text)
			if s.Whole || s.Verdict != "may-have-run" {
				t.Errorf("the caller got %+v, want a refusal that says may-have-run", s)
			}
			pass(time.Minute)
		}
	})
}
