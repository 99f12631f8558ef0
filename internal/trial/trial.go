// Package trial runs a site in virtual time, sends it requests and checks them from the callers' and the upstreams' side.
//
// It belongs in a synctest bubble. Tests of delivery and the soak share it.
package trial

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/judge"
	"damaskreach/internal/stand/plain"
	"damaskreach/internal/stand/recrd"
	"damaskreach/internal/stand/site"
)

const (
	adapters   = 12
	settleTime = time.Minute // for every runner to get an owner
	settlePoll = 100 * time.Millisecond
	steadyTime = 6 * time.Second // without a change of owner
)

// Trial is one run. Its exported fields may be changed before Start.
type Trial struct {
	Site  *site.Site
	Judge *judge.Judge
	Nodes int
	End   time.Duration // for what was under way to end

	ctx    context.Context
	cancel context.CancelFunc
	dead   map[int]bool
	serial atomic.Int64
}

// NewTrial returns a trial of a site of the given size. The seed fixes the network's latencies.
func NewTrial(seed int64, nodes, engines, plains int) *Trial {
	s := site.NewSite(seed, engines)
	for range plains {
		s.Plains = append(s.Plains, plain.NewService())
	}
	return &Trial{Site: s, Judge: judge.NewJudge(), Nodes: nodes, End: time.Minute, dead: map[int]bool{}}
}

// Start brings the site up and returns once every runner has an owner.
func (t *Trial) Start() error {
	t.ctx, t.cancel = context.WithCancel(context.Background())
	if err := t.Site.Start(t.ctx, adapters); err != nil {
		return err
	}
	for i := range t.Nodes {
		t.Site.StartNode(t.ctx, i)
	}
	return t.Settle()
}

// Settle waits until every runner has an owner and none has changed hands for a while.
func (t *Trial) Settle() error {
	var before []string
	steady := 0
	for range settleTime / settlePoll {
		now := t.owners()
		steady++
		if !slices.Equal(now, before) || len(now) < len(t.Site.Engines)+len(t.Site.Plains) {
			steady = 0
		}
		if steady > int(steadyTime/settlePoll) {
			return nil
		}
		before = now
		time.Sleep(settlePoll)
	}
	return merry.Errorf("after %v the runners with an owner are %q", settleTime, before)
}

// owners returns which node owns which runner, sorted.
func (t *Trial) owners() []string {
	var all []string
	for i := range t.Nodes {
		if t.dead[i] {
			continue
		}
		for _, d := range t.Site.Node(i).Runners() {
			all = append(all, d.Runner+" "+strconv.Itoa(i))
		}
	}
	slices.Sort(all)
	return all
}

// Owner returns the node that owns a runner, or -1.
func (t *Trial) Owner(runner string) int {
	for i := range t.Nodes {
		if t.dead[i] {
			continue
		}
		for _, d := range t.Site.Node(i).Runners() {
			if d.Runner == runner {
				return i
			}
		}
	}
	return -1
}

// Kill ends a node without warning.
func (t *Trial) Kill(node int) {
	t.Site.KillNode(node)
	t.dead[node] = true
}

// Stop ends the site after what was under way has had time to end.
func (t *Trial) Stop() {
	time.Sleep(t.End)
	t.cancel()
	for i := range t.Nodes {
		t.Site.Wait(i)
	}
	time.Sleep(t.End)
}

// Records returns what all upstreams executed.
func (t *Trial) Records() []recrd.Record {
	var all []recrd.Record
	for _, e := range t.Site.Engines {
		all = append(all, e.Records()...)
	}
	for _, p := range t.Site.Plains {
		all = append(all, p.Records()...)
	}
	return all
}

// Breaches returns what the judge, and the engines themselves, found wrong.
func (t *Trial) Breaches() []string {
	found := t.Judge.Breaches(t.Records())
	for _, e := range t.Site.Engines {
		for _, b := range e.Breaches() {
			found = append(found, "an engine was made to break request "+b.Request+": "+b.Breach)
		}
	}
	return found
}

// ID returns a request id that is new in this trial.
func (t *Trial) ID() string {
	return "request-" + strconv.FormatInt(t.serial.Add(1), 10)
}
