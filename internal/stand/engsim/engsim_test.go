package engsim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/engine"
	"damaskreach/internal/report"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/recrd"
)

// post sends body to the engine and returns the status, or 0 where the engine cut the connection.
func post(ctx context.Context, e *engsim.Engine, path, body string, headers ...string) (status int, answer string) {
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	r.Header.Set(engine.HeaderFence, "1")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func load(t *testing.T, e *engsim.Engine, model string) {
	t.Helper()
	if status, answer := post(t.Context(), e, engine.PathLoad, fmt.Sprintf(`{"model":%q,"fence":1}`, model)); status != 200 {
		t.Fatalf("load of %s = %d %s, want 200", model, status, answer)
	}
}

func complete(t *testing.T, e *engsim.Engine, model, prompt string, tokens int, headers ...string) int {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, model, prompt, tokens)
	status, _ := post(t.Context(), e, "/v1/completions", body, headers...)
	return status
}

// get decodes the engine's answer for path into out.
func get(t *testing.T, e *engsim.Engine, path string, out any) {
	t.Helper()
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	if err := json.NewDecoder(w.Body).Decode(out); err != nil {
		t.Fatalf("decoding %s: %v", path, err)
	}
}

func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Batch = 1
		load(t, e, "a@1")
		var mu sync.Mutex
		var order []string
		var all sync.WaitGroup
		for i, priority := range []string{"0", "0", "5", "9"} {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				complete(t, e, "a@1", "p", 10, engine.HeaderPriority, priority)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, priority)
			})
		}
		all.Wait()
		if want := []string{"0", "9", "5", "0"}; !slices.Equal(order, want) {
			t.Errorf("requests ended in the order of priorities %v, want %v", order, want)
		}
	})
}

func TestStepCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Step, e.PerRequest, e.PerAdapter, e.Prefill = 8*time.Millisecond, time.Millisecond, 2*time.Millisecond, 20*time.Millisecond
		load(t, e, "a@1")
		load(t, e, "b@1")
		begin := time.Now()
		var all sync.WaitGroup
		for _, model := range []string{"a@1", "b@1"} {
			all.Go(func() { complete(t, e, model, "p", 10) })
		}
		all.Wait()
		// The first arrival may begin a step alone, so that the second ends one step later.
		least, most := 2*20*time.Millisecond+10*14*time.Millisecond, 2*20*time.Millisecond+11*14*time.Millisecond
		if got := time.Since(begin); got < least || got > most {
			t.Errorf("two requests of two models took %v, want %v to %v", got, least, most)
		}
	})
}

// A model is unloaded while requests use it. The engine obeys, as real ones do: the request breaks, and only
// the engine's own list of breaches shows whose fault it was.
func TestUnloadInUseIsABreach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		load(t, e, "a@1")
		time.AfterFunc(50*time.Millisecond, func() {
			post(t.Context(), e, engine.PathUnload, `{"model":"a@1","fence":2}`)
		})
		if status := complete(t, e, "a@1", "p", 1000, engine.HeaderRequest, "r1"); status != 0 {
			t.Errorf("request on the unloaded model = %d, want a cut connection", status)
		}
		breaches := e.Breaches()
		if len(breaches) != 1 || breaches[0].Request != "r1" || breaches[0].Breach == "" {
			t.Errorf("Breaches() = %+v, want one of r1", breaches)
		}
		if records := e.Records(); records[0].End != recrd.Cut {
			t.Errorf("Records() = %+v, want one cut", records)
		}
	})
}

// An engine's report is as old as its lag: right after a load it still shows nothing loaded, and an
// owner that believes it would load the model again or give its slot away.
func TestReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		time.Sleep(time.Minute)
		load(t, e, "a@1")
		loaded := time.Now()
		var early, late, crashed report.Report
		time.Sleep(e.Lag - time.Millisecond)
		get(t, e, engine.PathReport, &early)
		time.Sleep(time.Millisecond)
		get(t, e, engine.PathReport, &late)
		if len(early.Resident) != 0 || !slices.Equal(late.Resident, []string{"a@1"}) || !late.At.Equal(loaded) {
			t.Errorf("reports before and after the lag = %+v and %+v, want none and a@1 resident", early, late)
		}
		e.Crash()
		time.Sleep(e.Restart)
		get(t, e, engine.PathReport, &crashed)
		if crashed.Boot == late.Boot || len(crashed.Resident) != 0 {
			t.Errorf("report after a crash = %+v, want another boot and nothing resident", crashed)
		}
	})
}

func TestEventsAreLateAndHaveGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Cached = 4
		load(t, e, "a@1")
		for i := range 20 {
			complete(t, e, "a@1", fmt.Sprintf("prompt %d", i), 1)
		}
		var events []struct {
			Seq int64
			At  time.Time
		}
		time.Sleep(e.Lag)
		get(t, e, "/events?after=3", &events)
		// 20 prefixes were stored and 16 evicted; every seventh event is missing.
		if got, want := len(events), 36-36/7-3; got != want {
			t.Errorf("%d events after 3, want %d", got, want)
		}
		complete(t, e, "a@1", "another", 1)
		get(t, e, "/events?after=36", &events)
		if len(events) != 0 {
			t.Errorf("events of the last moment = %v, want none yet", events)
		}
	})
}

// A load is under way when the engine crashes. Its order is cut off, and the restarted engine has nothing loaded.
func TestCrashDuringLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Fetch = func(ctx context.Context, _ string) error {
			<-ctx.Done()
			return ctx.Err()
		}
		time.AfterFunc(time.Second, e.Crash)
		if status, _ := post(t.Context(), e, engine.PathLoad, `{"model":"a@1"}`); status != 0 {
			t.Errorf("load cut by a crash = %d, want a cut connection", status)
		}
		time.Sleep(e.Restart)
		if status := complete(t, e, "a@1", "p", 1); status != 404 {
			t.Errorf("request after the restart = %d, want 404", status)
		}
	})
}
