package engsim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"damaskreach/internal/engine"
	"damaskreach/internal/stand/recrd"
)

const (
	bodyLimit  = 8 << 20 // bytes of a request's body
	prefixSize = 256     // bytes of a prompt that count as its opening
	mostTokens = 1 << 16 // tokens of an answer
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type question struct {
	Model    string    `json:"model"`
	Prompt   string    `json:"prompt"`
	Messages []message `json:"messages"`
	Most     int       `json:"max_tokens"`
	Stream   bool      `json:"stream"`
}

// text returns the prompt, which in a chat is the content of its messages, a line each.
func (q question) text() string {
	if len(q.Messages) == 0 {
		return q.Prompt
	}
	lines := make([]string, len(q.Messages))
	for i, m := range q.Messages {
		lines[i] = m.Content
	}
	return strings.Join(lines, "\n")
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	var q question
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&q)
	if err != nil || q.Most < 0 || q.Most > mostTokens {
		refuse(w, http.StatusBadRequest, "bad_request", "the body is not a completion request")
		return
	}
	if q.Most == 0 {
		q.Most = defaultTokens
	}
	run, ok := e.start(w, r, q)
	if !ok {
		return
	}
	tokens := Answer(q.Model, q.text(), run.total)
	out := writer{w: w, chat: strings.HasPrefix(r.URL.Path, "/v1/chat/"), id: r.Header.Get(engine.HeaderRequest), model: q.Model}
	skipped := resumed(r, run.total)
	if q.Stream {
		e.stream(r, run, tokens, skipped, out)
		return
	}
	e.collect(r, run, tokens, skipped, out)
}

// start accepts the request or answers why not.
func (e *Engine) start(w http.ResponseWriter, r *http.Request, q question) (*run, bool) {
	next := e.newRun(r, q)
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	switch {
	case !e.pass(number(r, engine.HeaderFence)):
		refuseFence(w)
	case !b.models[q.Model]:
		refuse(w, http.StatusNotFound, "model_not_loaded", "the model "+q.Model+" is not loaded")
	case len(b.waiting) >= e.Waiting:
		w.Header().Set(engine.HeaderRefused, "true")
		refuse(w, http.StatusServiceUnavailable, "queue_full", "the engine's queue is full")
	default:
		e.accept(b, next, newRecord(r, next))
		return next, true
	}
	return nil, false
}

func (e *Engine) newRun(r *http.Request, q question) *run {
	text := q.text()
	total := q.Most
	if e.Length != nil {
		total = min(e.Length(text, q.Most), q.Most)
	}
	hash := r.Header.Get(engine.HeaderPrefix)
	if hash == "" {
		sum := sha256.Sum256([]byte(text[:min(len(text), prefixSize)]))
		hash = hex.EncodeToString(sum[:8])
	}
	return &run{
		prefix:   prefix{model: q.Model, hash: hash},
		poison:   e.Poison != "" && strings.Contains(text, e.Poison),
		priority: int(number(r, engine.HeaderPriority)),
		total:    total,
		done:     resumed(r, total),
	}
}

// resumed returns how many tokens of an answer the caller has already.
func resumed(r *http.Request, total int) int {
	return min(max(int(number(r, engine.HeaderResume)), 0), total)
}

// await waits until more than sent tokens are generated and returns how many are.
// It reports false where the caller has gone, and cuts the connection where the engine gave the run up.
func (e *Engine) await(r *http.Request, x *run, sent int) (int, bool) {
	for {
		if n := e.progress(x); n > sent {
			return n, true
		}
		select {
		case <-x.wake:
		case <-x.broken:
			panic(http.ErrAbortHandler)
		case <-x.boot.ctx.Done():
			e.finish(x, recrd.Cut)
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			e.finish(x, recrd.Cancelled)
			return 0, false
		}
	}
}

func decimal(n int64) string {
	return strconv.FormatInt(n, 10)
}
