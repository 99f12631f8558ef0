package direct_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"damaskreach/internal/kinds"
	"damaskreach/internal/rates"
	"damaskreach/internal/route"
	"damaskreach/internal/speed"
)

// largePrompt takes 270 ms to read at 27 us a token: longer than the streams of these tests may pause.
const largePrompt = "10000"

// manyEngines returns a bench of eight engines that all hold the adapter, or none.
func manyEngines(t *testing.T, adapters map[string]int) *bench {
	b := newBench(t, route.Route{Kind: kinds.Stream, Target: time.Second, Gap: 250 * time.Millisecond})
	b.Speed = &speed.Speed{Before: func() rates.Rates {
		return rates.Rates{Token: 27 * time.Microsecond, Event: 30 * time.Millisecond}
	}}
	delete(b.view.Targets, "one")
	delete(b.view.Targets, "two")
	for i := range 8 {
		b.add(fmt.Sprintf("e%d", i), adapters)
	}
	return b
}

// went sends a request for so many prompt tokens and returns the engine that got it.
func (b *bench) went(tokens string) string {
	b.then(answers(http.StatusOK, nil, "id: 1\ndata: x\n\n", nil))
	if rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}, "Tokens": {tokens}}); rec.Code != http.StatusOK {
		b.t.Errorf("status = %d, want %d", rec.Code, http.StatusOK)
	}
	return b.sent[len(b.sent)-1].addr
}

// A prompt that takes longer to read than streams may pause holds up all streams of its engine. Such prompts go to one engine, and
// what others ask for goes past it, so that their streams do not pause.
func TestLargePromptsGoWhereFewStreamsAre(t *testing.T) {
	b := manyEngines(t, map[string]int{"m/a": 1})
	reader := b.went(largePrompt)
	for range 3 { // fewer than it takes to measure: these engines answer at once
		if got := b.went(largePrompt); got != reader {
			t.Errorf("a large prompt went to %s, want %s", got, reader)
		}
		if got := b.went("800"); got == reader {
			t.Errorf("a small prompt went to %s, want another engine", got)
		}
	}
}

// The engine for large prompts has no turn in time. The request goes to another one that holds its adapter: streams that pause are
// better than a refusal.
func TestLargePromptGoesElsewhereWhereItsEngineIsBusy(t *testing.T) {
	b := manyEngines(t, map[string]int{"m/a": 1})
	reader := b.went(largePrompt)
	b.busy = map[string]bool{reader[:2]: true}
	if got := b.went(largePrompt); got == reader {
		t.Errorf("a large prompt went to %s, want another engine", got)
	}
}

// Only the engine for large prompts holds an adapter, and no other one can load it now. A small prompt goes there all the same.
func TestSmallPromptGoesToTheOnlyEngineThatServesIt(t *testing.T) {
	b := manyEngines(t, map[string]int{"m/a": 1})
	reader := b.went(largePrompt)
	b.busy = map[string]bool{}
	for id := range b.view.Targets {
		if id != reader[:2] {
			b.add(id, nil)
			b.busy[id] = true
		}
	}
	if got := b.went("800"); got != reader {
		t.Errorf("a small prompt went to %s, want %s", got, reader)
	}
}

// Where no prompt is large, no engine is kept for them.
func TestNoEngineIsKeptWithoutLargePrompts(t *testing.T) {
	b := manyEngines(t, map[string]int{"m/a": 1})
	seen := map[string]bool{}
	for range 200 {
		seen[b.went("800")] = true
	}
	if got, want := len(seen), 8; got != want {
		t.Errorf("engines that got requests = %d, want %d", got, want)
	}
}
