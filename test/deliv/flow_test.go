//go:build !race

package deliv_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"damaskreach/internal/stand/site"
	"damaskreach/internal/trial"
)

// Many requests of different length share the connections between nodes, so that their answers come back in another
// order. Each caller must get its own answer.
func TestAnswersComeOutOfOrder(t *testing.T) {
	run(t, 3, 3, 2, func(t *testing.T, f *trial.Trial) {
		var all sync.WaitGroup
		for i := range 120 {
			all.Go(func() {
				if i%3 == 0 {
					f.Site.Plains[i%2].Slow(time.Duration(120-i) * time.Millisecond)
					f.Book(t.Context(), i%3, "", fmt.Sprintf(`{"slot":%d}`, i))
					return
				}
				s := f.Complete(t.Context(), i%3, trial.Model(i%6), fmt.Sprintf("note %d", i), 1+(120-i)%30, nil)
				if !s.Whole {
					t.Errorf("request %d got %+v, want its answer", i, s)
				}
			})
		}
		all.Wait()
	})
}

// stall requests a long answer through a node and does not read it.
func stall(t *testing.T, f *trial.Trial, entry int) {
	t.Helper()
	id := f.ID()
	f.Judge.Sent(id, "", false, trial.Model(0), "")
	body := fmt.Sprintf(`{"model":%q,"prompt":"slow","max_tokens":20000,"stream":true}`, trial.Model(0))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+site.Host(entry)+":8000/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+site.APIKey)
	req.Header.Set("X-Request-Id", id)
	res, err := f.Site.Caller().Do(req)
	if err != nil {
		t.Fatalf("a caller that reads nothing got %v, want the head of an answer", err)
	}
	t.Cleanup(func() { _ = res.Body.Close() })
	f.Judge.Got(id, 0, "may-have-run", false, "")
}

// Some callers request long answers and do not read them. Their unread bytes must not fill the connections between
// nodes, which answers to other callers use: these must not be delayed, and the slow callers are disconnected in the end.
func TestSlowCallersDoNotHoldUpOthers(t *testing.T) {
	run(t, 3, 1, 0, func(t *testing.T, f *trial.Trial) {
		owner := f.Owner(site.RunnerName(0))
		entry := (owner + 1) % 3
		quick := f.Complete(t.Context(), entry, trial.Model(0), "loads", 20, nil)
		quick = f.Complete(t.Context(), entry, trial.Model(0), "alone", 20, nil)
		for range 5 {
			stall(t, f, entry)
		}
		pass(20 * time.Second)
		for i := range 10 {
			s := f.Complete(t.Context(), entry, trial.Model(0), fmt.Sprintf("note %d", i), 20, nil)
			if !s.Whole || s.Took > 2*quick.Took {
				t.Errorf("beside slow callers a request got %+v, want its answer in about %v", s, quick.Took)
			}
		}
		pass(time.Minute)
		if got := running(f); got >= 0 {
			t.Error("the engine still runs a request that nobody reads, want it cancelled")
		}
	})
}

// patient sends request i, which is idempotent, and retries it after the Retry-After that it gets.
func patient(t *testing.T, f *trial.Trial, entry, i int) {
	t.Helper()
	for range 5 {
		s := f.Complete(t.Context(), entry, trial.Model(i), fmt.Sprintf("note %d", i), 40, nil)
		if s.Whole {
			return
		}
		if s.Retry == 0 {
			t.Errorf("request %d got %+v, want its answer, or when to come back", i, s)
			return
		}
		pass(s.Retry)
	}
	t.Errorf("request %d was refused five times, want its answer", i)
}

// A node is shut down while it serves callers and owns a runner; meanwhile an engine crashes and connections break. Callers that still use the
// node, as its discovery answer allows, must be answered, at once or after a retry. The node must exit after the last request.
func TestShutdownAmidFaults(t *testing.T) {
	run(t, 4, 4, 1, func(t *testing.T, f *trial.Trial) {
		f.Site.Plains[0].Slow(200 * time.Millisecond)
		leaves := f.Owner(site.RunnerName(0))
		var all sync.WaitGroup
		for i := range 60 {
			all.Go(func() {
				pass(time.Duration(i) * 100 * time.Millisecond)
				entry := i % 4
				patient(t, f, entry, i)
				again(t, f, entry, fmt.Sprintf("key-%d", i), fmt.Sprintf(`{"slot":%d}`, i))
			})
		}
		time.AfterFunc(1500*time.Millisecond, func() { f.Site.Node(leaves).Drain() })
		time.AfterFunc(2*time.Second, f.Site.Engines[3].Crash)
		time.AfterFunc(3*time.Second, func() { f.Site.Net.Break(siteHost(leaves), siteHost((leaves+1)%4)) })
		all.Wait()
		f.Site.Wait(leaves)
	})
}

// A node is shut down during a long stream. It must not exit before the stream has ended.
func TestShutdownCutsOffNoStream(t *testing.T) {
	run(t, 3, 1, 0, func(t *testing.T, f *trial.Trial) {
		owner := f.Owner(site.RunnerName(0))
		var all sync.WaitGroup
		for entry := range 3 {
			all.Go(func() {
				s := f.Complete(context.WithoutCancel(t.Context()), entry, trial.Model(0), fmt.Sprint(entry), 2500, nil)
				if !s.Whole || s.Took < 20*time.Second {
					t.Errorf("a stream got %+v, want a whole answer after the shutdown had begun", s)
				}
			})
		}
		pass(time.Second)
		f.Site.Node(owner).Drain()
		all.Wait()
		f.Site.Wait(owner)
	})
}
