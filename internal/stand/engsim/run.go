package engsim

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"damaskreach/internal/engine"
	"damaskreach/internal/stand/recrd"
)

// run is one accepted request. The step loop writes done; the handler of the request reads it.
type run struct {
	boot     *boot
	prefix   prefix
	poison   bool
	priority int
	seq      int64
	total    int           // tokens of the whole answer
	done     int           // tokens generated so far, with those skipped by a resume
	wake     chan struct{} // holds one signal that done has grown
	broken   chan struct{} // closed when the engine gives the run up
	record   int           // its index in the engine's records
}

// accept queues a run and starts the step loop where none is running.
func (e *Engine) accept(b *boot, r *run, rec recrd.Record) {
	e.seq++
	r.seq = e.seq
	r.boot = b
	r.wake = make(chan struct{}, 1)
	r.broken = make(chan struct{})
	r.record = len(e.log)
	rec.Boot = b.id
	rec.Started = time.Now()
	e.log = append(e.log, rec)
	b.waiting = append(b.waiting, r)
	e.note()
	if !b.stepped {
		b.stepped = true
		go e.steps(b)
	}
}

// finish records the end of a run once and takes it out of the batch, which frees its place.
func (e *Engine) finish(r *run, end string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle(r, end)
}

// settle is finish for callers that hold the lock.
func (e *Engine) settle(r *run, end string) {
	rec := e.log[r.record]
	// A crash at the moment in which the last byte was handed on marks the run as cut; its answer may be whole all the same.
	late := rec.End == recrd.Cut && end == recrd.Whole
	if rec.End != "" && !late {
		return
	}
	rec.Tokens = r.done - rec.From
	e.log[r.record] = rec.WithEnd(end, time.Now())
	r.boot.remove(r)
	e.note()
	if end == recrd.Cut {
		close(r.broken)
	}
}

func (b *boot) remove(r *run) {
	same := func(other *run) bool { return other == r }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
	if len(b.running)+len(b.waiting) > 0 {
		return
	}
	select {
	case b.idle <- struct{}{}:
	default:
	}
}

// admit moves waiting runs into free places of the batch, the most urgent first.
func (b *boot) admit(places int) []*run {
	slices.SortFunc(b.waiting, func(x, y *run) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.seq, y.seq))
	})
	n := min(places-len(b.running), len(b.waiting))
	joined := slices.Clone(b.waiting[:max(n, 0)])
	b.waiting = slices.Delete(b.waiting, 0, len(joined))
	b.running = append(b.running, joined...)
	return joined
}

func newRecord(r *http.Request, next *run) recrd.Record {
	return recrd.Record{
		Request: r.Header.Get(engine.HeaderRequest),
		Attempt: r.Header.Get(engine.HeaderAttempt),
		Key:     r.Header.Get(engine.HeaderKey),
		Fence:   number(r, engine.HeaderFence),
		From:    next.done,
		Model:   next.prefix.model,
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
	}
}

// number reads a decimal header; one that is absent or malformed counts as 0.
func number(r *http.Request, header string) int64 {
	n, err := strconv.ParseInt(r.Header.Get(header), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
