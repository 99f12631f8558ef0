package site

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/action"
	"damaskreach/internal/call"
	"damaskreach/internal/check"
	"damaskreach/internal/engine"
	"damaskreach/internal/node"
	"damaskreach/internal/rows"
	"damaskreach/internal/runner"
	"damaskreach/internal/table"
)

const (
	sample = 500 * time.Millisecond // interval of looks at the revision a node has in force
	// LeavingGrace is the stated time after which a leaving runner gets no start.
	LeavingGrace = 5 * time.Second
	// ForceGrace is the stated time after which an accepted revision is in force.
	ForceGrace = 6 * time.Second
)

// journal collects the actions of a run.
type journal struct {
	mu  sync.Mutex
	all []action.Action
}

func (j *journal) add(a action.Action) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.all = append(j.all, a)
}

// Note records an action now.
func (s *Site) Note(a action.Action) {
	a.At = time.Now()
	s.journal.add(a)
}

// Actions returns what was recorded so far.
func (s *Site) Actions() []action.Action {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	return slices.Clone(s.journal.all)
}

// Breaches returns every case in which a run so far broke what must always hold.
func (s *Site) Breaches() []check.Breach {
	all := s.Actions()
	found := check.Givers(all)
	for i, e := range s.Engines {
		found = append(found, check.Refusals(e.Records(), all)...)
		found = append(found, check.Unloads(RunnerName(i), e.Records(), e.Breaches(), all)...)
	}
	found = append(found, check.Leaving(all, LeavingGrace)...)
	found = append(found, check.Reverts(all)...)
	found = append(found, check.Missing(all, ForceGrace, time.Now())...)
	return append(found, check.Cuts(all)...)
}

// watch makes a node's requests and orders to runners be recorded under the name of its process.
func (s *Site) watch(n *node.Node, process string) {
	connect := n.Connect
	n.Connect = func(r runner.Runner) engine.Engine {
		inner := connect(r)
		e := inner
		record := func(a action.Action, err error) {
			a.Process, a.Runner, a.End = process, r.Name, time.Now()
			if err != nil {
				a.Fault = err.Error()
			}
			s.journal.add(a)
		}
		e.Generate = func(ctx context.Context, fence int64, c call.Call, head func(status int, kind string) error, emit func(token int, piece []byte) error) error {
			a := action.Action{Kind: action.Start, At: time.Now(), Fence: fence, Model: c.Model(), Request: c.ID}
			err := inner.Generate(ctx, fence, c, head, emit)
			record(a, err)
			return err
		}
		e.Load = func(ctx context.Context, fence int64, model string) error {
			a := action.Action{Kind: action.Load, At: time.Now(), Fence: fence, Model: model}
			err := inner.Load(ctx, fence, model)
			record(a, err)
			return err
		}
		e.Unload = func(ctx context.Context, fence int64, model string) error {
			a := action.Action{Kind: action.Unload, At: time.Now(), Fence: fence, Model: model}
			err := inner.Unload(ctx, fence, model)
			record(a, err)
			return err
		}
		return e
	}
}

// follow records which configuration revision a node has in force until it ends.
func (s *Site) follow(r *running) {
	timer := time.NewTicker(sample)
	defer timer.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-timer.C:
		}
		s.Note(action.Action{Kind: action.Force, Process: r.process, Rev: r.node.Catalog().Complete()})
	}
}

// Apply writes configuration rows as operators do and records the accepted revision.
func (s *Site) Apply(ctx context.Context, edits ...rows.Row) (int64, error) {
	rev, err := s.DB.Table().Write(ctx, edits...)
	if err == nil {
		s.Note(action.Action{Kind: action.Commit, Rev: rev})
	}
	return rev, err
}

// MarkLeaving has operators mark the runner of engine i as leaving, or take the mark back.
func (s *Site) MarkLeaving(ctx context.Context, i int, leaving bool) error {
	row, err := s.DB.Table().Read(ctx, table.PrefixConf+"runner/"+RunnerName(i))
	if err != nil {
		return err
	}
	var r runner.Runner
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return err
	}
	r.Leaving = leaving
	if _, err := s.Apply(ctx, rows.Row{Key: row.Key, Rev: row.Rev, Value: Row("runner", r.Name, r).Value}); err != nil {
		return err
	}
	kind := action.Return
	if leaving {
		kind = action.Leave
	}
	s.Note(action.Action{Kind: kind, Runner: r.Name})
	return nil
}
