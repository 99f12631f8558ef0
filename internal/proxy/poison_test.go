package proxy_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/resp"
	"damaskreach/pkg/refuse"
)

// newPoisonBench returns a bench with eight upstreams, at which no two requests are alike.
func newPoisonBench(t *testing.T) *bench {
	b := newBench(t, streamRoute())
	for n := range 6 {
		b.add(fmt.Sprint("e", n), nil)
	}
	decode, count := b.Decode, 0
	b.Decode = func(r *http.Request) (demand.Demand, error) {
		d, err := decode(r)
		count++
		d.URI += fmt.Sprint("&n=", count)
		return d, err
	}
	return b
}

// callWith sends a request whose prompt has the given shared parts.
func callWith(b *bench, parts string) (status int, body string) {
	rec, _ := b.call(http.Header{headParts: {parts}})
	return rec.Code, rec.Body.String()
}

// Engines crash under requests that are alike in one part of their prompts only. After three crashes no request with the part may reach an
// engine, and none may reach a second one once two have crashed. Requests with the other parts must be served.
func TestRequestsWithAPartThatCrashesEnginesAreBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPoisonBench(t)
		b.crashed = map[string]bool{}
		for _, t := range b.view.Targets {
			b.crashed[t.Addr] = true
		}
		crash := func(s sent) (resp.Resp, error) {
			time.Sleep(200 * time.Millisecond) // the engine reads the prompt
			return answers(200, nil, "", errors.New("reset"))(s)
		}
		b.setAnswers(crash, crash, crash)
		callWith(b, "opening poisoned")
		if got, want := len(b.sent), 2; got != want {
			t.Fatalf("sent to %d engines, want %d", got, want)
		}
		callWith(b, "opening poisoned")
		if got, want := len(b.sent), 3; got != want {
			t.Fatalf("sent to %d engines in all, want %d: not a second time once two have crashed", got, want)
		}
		if status, body := callWith(b, "opening poisoned"); status != http.StatusServiceUnavailable || !strings.Contains(body, refuse.Suspect) {
			t.Errorf("answer = %d %s, want refused as %s", status, body, refuse.Suspect)
		}
		b.setAnswers(answers(200, nil, "id: 1\ndata: a\n\n", nil))
		if status, _ := callWith(b, "opening other"); status != http.StatusOK {
			t.Errorf("status = %d for a prompt with the same opening, want %d", status, http.StatusOK)
		}
	})
}

// Answers are lost while their upstreams run on. Nothing in the requests is to blame for that.
func TestLostAnswersBlameNoPart(t *testing.T) {
	b := newPoisonBench(t)
	lost := answers(200, nil, "", errors.New("reset"))
	for range 5 {
		b.setAnswers(lost, lost)
		callWith(b, "opening part")
	}
	b.setAnswers(answers(200, nil, "id: 1\ndata: a\n\n", nil))
	if status, body := callWith(b, "opening part"); status != http.StatusOK {
		t.Errorf("answer = %d %s, want %d", status, body, http.StatusOK)
	}
}
