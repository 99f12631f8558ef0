// Package soak runs a site under combined failures drawn from a seed.
//
// It needs a synctest bubble around it: a run takes minutes of virtual time. The seed fixes which failures come when
// and what callers ask for; the checks of package check give the verdict.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"damaskreach/internal/action"
	"damaskreach/internal/host"
	"damaskreach/internal/stand/site"
)

const (
	adapters  = 10
	callers   = 5
	rounds    = 3
	mostAtOne = 3 // failures in one round
	settle    = 40 * time.Second
	latest    = 15 * time.Second // from the begin of a round to that of a failure
	shortest  = time.Second      // failure
	longest   = 40 * time.Second
)

// Soak is one run.
type Soak struct {
	*site.Site
	Fences bool // engines honour fences
	nodes  int
	rand   *rand.Rand
	ctx    context.Context
	faults sync.WaitGroup

	mu   sync.Mutex
	on   map[string]int // failures in effect, counted by what they act on
	shut map[int]bool   // nodes that callers know to be leaving
	log  []string
}

// NewSoak returns the run of a seed: 5 to 7 nodes and as many engines, of one kind or the other.
func NewSoak(seed uint64) *Soak {
	r := rand.New(rand.NewPCG(seed, 0))
	s := &Soak{rand: r, nodes: 5 + r.IntN(3), Fences: r.IntN(2) == 0, on: map[string]int{}, shut: map[int]bool{}}
	s.Site = site.NewSite(int64(seed), s.nodes)
	for _, e := range s.Engines {
		e.Slots, e.Fences = 2+r.IntN(2), s.Fences
	}
	s.Net.SetLinger(r.IntN(2) == 0)
	return s
}

// Run plays the failures and returns what went wrong, or nothing.
func (s *Soak) Run(ctx context.Context) []string {
	ctx, cancel := context.WithCancel(ctx)
	defer s.end(cancel)
	s.ctx = ctx
	if err := s.Start(ctx, adapters); err != nil {
		return []string{err.Error()}
	}
	for i := range s.nodes {
		s.start(i)
	}
	time.Sleep(settle)
	stop := s.load(s.rand.Uint64())
	for range rounds {
		s.round()
	}
	time.Sleep(settle)
	stop()
	return s.verdict()
}

// Log returns the failures that were played.
func (s *Soak) Log() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log
}

// round plays failures alone, together, or one twice.
func (s *Soak) round() {
	count := 1 + s.rand.IntN(mostAtOne)
	kind := s.rand.IntN(len(failures))
	for range count {
		f := failures[kind]
		wait := time.Duration(s.rand.Int64N(int64(latest)))
		last := shortest + time.Duration(s.rand.Int64N(int64(longest-shortest)))
		r := rand.New(rand.NewPCG(s.rand.Uint64(), 0))
		s.faults.Go(func() {
			time.Sleep(wait)
			s.note("%s for %s", f.name, last.Round(time.Second))
			f.play(s, r, last)
		})
		if s.rand.IntN(3) > 0 {
			kind = s.rand.IntN(len(failures))
		}
	}
	s.faults.Wait()
	time.Sleep(settle)
}

func (s *Soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (s *Soak) load(seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	var all sync.WaitGroup
	for c := range uint64(callers) {
		all.Go(func() { s.Load(ctx, seed+c, adapters, s.pick) })
	}
	return func() {
		cancel()
		all.Wait()
	}
}

func (s *Soak) pick(r *rand.Rand) int {
	i := r.IntN(s.nodes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shut[i] || !s.Up(i) {
		return -1
	}
	return i
}

// start runs node i; while it cannot learn of revisions it is recorded as cut off.
func (s *Soak) start(i int) {
	s.Hosts.Set(host.Host{Addr: site.Host(i), State: host.Live})
	s.StartNode(s.ctx, i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut[i] = false
	if s.on[parted(i)] > 0 {
		s.Note(action.Action{Kind: action.Part, Process: s.Process(i)})
	}
}

func (s *Soak) end(cancel context.CancelFunc) {
	cancel()
	for i := range s.nodes {
		s.Wait(i)
	}
	time.Sleep(time.Hour) // lets closed connections and unanswered calls end
}

// verdict lists the breaches, and what does not work again although every failure has ended.
func (s *Soak) verdict() []string {
	var found []string
	for _, b := range s.Breaches() {
		found = append(found, b.String())
	}
	owners := map[string]int{}
	for i := range s.nodes {
		for _, d := range s.Node(i).Runners() {
			owners[d.Runner]++
		}
		if fault := s.Ask(s.ctx, i, "last", site.AdapterName(i)+"@v1", "last", 3); fault != "" {
			found = append(found, fmt.Sprintf("node %d does not serve after the failures: %s", i, fault))
		}
	}
	for i := range s.Engines {
		if n := owners[site.RunnerName(i)]; n != 1 {
			found = append(found, fmt.Sprintf("%s has %d owners after the failures", site.RunnerName(i), n))
		}
	}
	for _, a := range s.Actions() {
		if a.Kind == action.Answer && len(a.Fault) > 5 && a.Fault[:5] == "wrong" {
			found = append(found, "request "+a.Request+": "+a.Fault)
		}
	}
	return found
}
