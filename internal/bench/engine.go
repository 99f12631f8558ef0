package bench

import (
	"slices"
	"time"

	"damaskreach/internal/agenda"
	"damaskreach/internal/runner"
)

// What a step of the engine costs: it grows with the requests in it and with the adapters they use.
// A full batch of 16 requests on 8 adapters stays just under the token gap of 35 ms.
const (
	stepBase    = 16 * time.Millisecond
	stepRequest = 600 * time.Microsecond
	stepAdapter = 1200 * time.Microsecond // each adapter after the first
	joinAtOnce  = 2                       // prefills in one step
	prefixes    = 32                      // cached prompt prefixes
	cachedShare = 0.2                     // of the prefill that a cached prefix leaves
)

// stepTime returns how long one step takes.
func stepTime(requests, distinct int) time.Duration {
	return stepBase + time.Duration(requests)*stepRequest + time.Duration(max(0, distinct-1))*stepAdapter
}

// job is a request inside an engine.
type job struct {
	req   *request
	left  int // tokens
	given int
	done  func(tokens int, cut bool)
}

// engine is one runner's upstream: it batches continuously and caches prompt prefixes.
type engine struct {
	sim      *agenda.Queue
	stats    *stats
	runner   runner.Runner
	up       bool
	boot     int
	resident map[string]time.Duration // when each model was loaded
	cached   []string                 // prefixes, most recent last
	jobs     []*job
	joining  []*job
	from     time.Duration // start of the present block of equal steps
	step     time.Duration // length of one of them
	steps    int           // in the block; 0 while idle
	fixed    bool          // the block holds prefills and cannot be cut short
	block    int           // serial of the block, to void ends that were moved
}

func newEngine(s *agenda.Queue, st *stats, r runner.Runner) *engine {
	return &engine{sim: s, stats: st, runner: r, up: true, boot: 1, resident: map[string]time.Duration{}}
}

// join adds a request; it enters the batch at the next step.
func (e *engine) join(j *job) {
	e.joining = append(e.joining, j)
	switch {
	case e.steps == 0:
		e.begin()
	case !e.fixed:
		e.shorten()
	}
}

// shorten ends the block at the next boundary between steps.
func (e *engine) shorten() {
	over := e.sim.Now() - e.from
	steps := int((over + e.step - 1) / e.step)
	if steps = max(1, steps); steps < e.steps {
		e.schedule(steps)
	}
}

// schedule sets the end of the block.
func (e *engine) schedule(steps int) {
	e.steps = steps
	e.block++
	block := e.block
	e.sim.At(e.from+time.Duration(steps)*e.step, func() {
		if block == e.block {
			e.end()
		}
	})
}

// begin starts a block: one step where requests join, else steps until the first answer is complete.
func (e *engine) begin() {
	e.from = e.sim.Now()
	entering := min(joinAtOnce, len(e.joining))
	prefill := time.Duration(0)
	for _, j := range e.joining[:entering] {
		prefill += e.prefill(j)
		e.jobs = append(e.jobs, j)
	}
	e.joining = e.joining[entering:]
	if len(e.jobs) == 0 {
		e.steps = 0
		return
	}
	e.step = stepTime(len(e.jobs), e.distinct()) + prefill
	e.fixed = entering > 0
	steps := 1
	if !e.fixed && len(e.joining) == 0 {
		steps = e.shortest()
	}
	e.schedule(steps)
}

// shortest returns the steps until the first answer is complete.
func (e *engine) shortest() int {
	steps := e.jobs[0].left
	for _, j := range e.jobs {
		steps = min(steps, j.left)
	}
	return steps
}

// distinct returns how many models the batch uses.
func (e *engine) distinct() int {
	used := map[string]bool{}
	for _, j := range e.jobs {
		used[j.req.model] = true
	}
	return len(used)
}

// prefill returns the time the prompt of a request takes and caches its prefix.
func (e *engine) prefill(j *job) time.Duration {
	prefix := j.req.call.Prefix
	known := slices.Contains(e.cached, prefix)
	if prefix != "" {
		e.cached = slices.DeleteFunc(e.cached, func(p string) bool { return p == prefix })
		e.cached = append(e.cached, prefix)
		if len(e.cached) > prefixes {
			e.cached = e.cached[1:]
		}
	}
	if known {
		return time.Duration(cachedShare * float64(j.req.prompt))
	}
	return j.req.prompt
}

// end closes the block: each request in it has one token more for each step.
func (e *engine) end() {
	steps := e.steps
	if e.runner.Slots > 0 {
		e.stats.block(steps, len(e.jobs), e.step)
	}
	e.steps = 0
	var complete []*job
	kept := e.jobs[:0]
	for _, j := range e.jobs {
		if j.given == 0 {
			j.req.firstToken(e.sim.Now())
		}
		j.given += steps
		j.left -= steps
		if j.left <= 0 {
			complete = append(complete, j)
			continue
		}
		kept = append(kept, j)
	}
	e.jobs = kept
	for _, j := range complete {
		j.done(j.given, false)
	}
	if e.steps == 0 {
		e.begin()
	}
}

// crash cuts everything off and comes back with nothing loaded after a time.
func (e *engine) crash(lasts time.Duration) {
	e.up = false
	e.boot++
	e.block++
	e.steps = 0
	clear(e.resident)
	e.cached = nil
	lost := append(e.jobs, e.joining...)
	e.jobs, e.joining = nil, nil
	for _, j := range lost {
		j.done(j.given, true)
	}
	e.sim.After(lasts, func() { e.up = true })
}
