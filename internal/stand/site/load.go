package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"damaskreach/internal/action"
	"damaskreach/internal/stand/engsim"
)

const (
	patience  = 2 * time.Minute // of a caller
	longEvery = 20              // one request of so many has a long answer
	longMost  = 3000            // tokens of a long answer, 30 s and more
	shortMost = 60              // tokens of other answers
	thinkMost = 400 * time.Millisecond
	endMark   = "data: [DONE]\n\n"
)

// Ask sends one request to node i, compares the answer with what the engine must have said and records the outcome.
// It returns what went wrong, or an empty string for a whole answer.
func (s *Site) Ask(ctx context.Context, i int, id, model, prompt string, tokens int) string {
	r := s.running(i)
	if r == nil {
		return "the node was never started"
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	a := action.Action{Kind: action.Answer, At: time.Now(), Process: r.process, Model: model, Request: id}
	status, _, body, err := s.Complete(ctx, i, model, prompt, tokens, map[string]string{"X-Request-Id": id})
	a.End = time.Now()
	a.Fault = judge(status, string(body), err, engsim.Answer(model, prompt, tokens))
	a.NotRun = strings.Contains(a.Fault, `"verdict":"not-run"`) || isDial(err)
	s.journal.add(a)
	return a.Fault
}

// isDial reports whether a request was never sent, since no connection came about.
func isDial(err error) bool {
	var fault *net.OpError
	return errors.As(err, &fault) && fault.Op == "dial"
}

// judge returns what is wrong with an answer. One that looks whole but is not the engine's own is worst.
func judge(status int, body string, err error, want []string) string {
	switch {
	case err != nil:
		return "cut: " + err.Error()
	case status != http.StatusOK:
		return fmt.Sprintf("refused: status %d: %s", status, strings.TrimSpace(body))
	case !strings.HasSuffix(body, endMark):
		return "cut: " + body[max(0, len(body)-200):]
	}
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(line, "data: {")
		if ok {
			text.WriteString(token("{" + data))
		}
	}
	if got, wanted := text.String(), strings.Join(want, ""); got != wanted {
		return fmt.Sprintf("wrong: got %d bytes, want %d", len(got), len(wanted))
	}
	return ""
}

func token(event string) string {
	var e struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(event), &e) != nil || len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Text
}

// Load sends requests to the nodes that pick returns, one after another, until ctx ends; the last one is finished.
// Models are chosen with skewed popularity. The seed fixes what is asked for; pick returns a negative number to wait.
func (s *Site) Load(ctx context.Context, seed uint64, adapters int, pick func(r *rand.Rand) int) {
	r := rand.New(rand.NewPCG(seed, seed))
	load := s.loads.Add(1) // the checks go by the ids, which no two requests of a run may share
	for n := 0; ctx.Err() == nil; n++ {
		i := pick(r)
		model := AdapterName(int(float64(adapters)*r.Float64()*r.Float64())) + "@v1"
		tokens := 1 + r.IntN(shortMost)
		if r.IntN(longEvery) == 0 {
			tokens = 1 + r.IntN(longMost)
		}
		if i >= 0 {
			s.Ask(context.WithoutCancel(ctx), i, fmt.Sprintf("%d-%d", load, n), model, fmt.Sprintf("prompt %d", r.IntN(10)), tokens)
		}
		time.Sleep(time.Duration(r.Int64N(int64(thinkMost))))
	}
}
