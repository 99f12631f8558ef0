package suspct

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	// othersWait is how long an ordinary request waits for a suspect to be done. Homes send other requests to other
	// runners once they know; those that came before must not stand in line for as long as a suspect's answer takes.
	othersWait  = 500 * time.Millisecond
	retryOthers = time.Second
)

// Enter waits until a call may be sent to a runner that this node owns. The caller calls begin at the moment of the
// dispatch, which may still refuse, and leave with the outcome; leave returns once all nodes know of a crash.
func (s *Suspect) Enter(ctx context.Context, runner string, c call.Call) (begin func() error, leave func(err error), err error) {
	for {
		p := s.queue(runner, s.Alone(c))
		if err := s.await(ctx, runner, p); err != nil {
			return nil, nil, err
		}
		if refusal := s.Refusal(c); refusal != nil {
			s.out(runner, p)
			return nil, nil, refusal
		}
		if p.alone || !s.Alone(c) {
			begin = func() error { return s.begin(c, p) }
			leave = func(err error) { s.leave(runner, c, p, err) }
			return begin, leave, nil
		}
		s.out(runner, p) // it became a suspect while it waited among the others
	}
}

func (s *Suspect) queue(runner string, alone bool) *pass {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gates[runner]
	if g == nil {
		g = &gate{}
		s.gates[runner] = g
	}
	p := g.add(alone)
	s.admit(runner, g)
	return p
}

// admit opens the gate as far as it goes, and again when a suspect has waited long enough. It needs the lock.
func (s *Suspect) admit(runner string, g *gate) {
	wait := g.admit(time.Now())
	if wait <= 0 {
		return
	}
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.admit(runner, g)
	})
}

func (s *Suspect) await(ctx context.Context, runner string, p *pass) error {
	var tooLong <-chan time.Time
	if !p.alone {
		timer := time.NewTimer(othersWait)
		defer timer.Stop()
		tooLong = timer.C
	}
	select {
	case <-p.granted:
		return nil
	case <-tooLong:
		s.out(runner, p)
		return refuse.NewRefusal(verd.NotRun, refuse.Held, "runner %s is kept for a request that may crash it", runner).WithRetry(retryOthers)
	case <-ctx.Done():
		s.out(runner, p)
		return refuse.NewRefusal(verd.NotRun, refuse.Canceled, "the caller went away while requests that may crash the runner had it to themselves")
	}
}

func (s *Suspect) out(runner string, p *pass) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gates[runner]
	g.remove(p)
	s.admit(runner, g)
}

// begin notes the dispatch. A call that has become a suspect since it came in, while it waited for its adapter, must not
// go on beside others.
func (s *Suspect) begin(c call.Call, p *pass) error {
	if refusal := s.Refusal(c); refusal != nil {
		return refusal
	}
	if !p.alone && s.Alone(c) {
		return refuse.NewRefusal(verd.NotRun, refuse.Moved, "the request crashed an upstream elsewhere and has to run alone")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.begun = time.Now()
	return nil
}

func (s *Suspect) leave(runner string, c call.Call, p *pass, err error) {
	var refusal *refuse.Refusal
	switch {
	case err == nil && s.Alone(c):
		s.clear(key(c))
	case errors.As(err, &refusal) && refusal.Code == refuse.Crashed:
		s.crashed(key(c), c.ID, s.note(runner, p))
	}
	s.out(runner, p)
}

// note returns the crash that ended a request. Requests whose dispatch began before the last crash ended in that one.
func (s *Suspect) note(runner string, p *pass) crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gates[runner]
	if g.last.ID == "" || p.begun.After(g.crashed) {
		g.last = crash{ID: rand.Text(), Runner: runner}
		g.crashed = time.Now()
	}
	return g.last
}
