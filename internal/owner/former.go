package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/reason"
	"damaskreach/internal/report"
)

// former is an earlier owner, whose requests or orders may still reach the runner.
type former struct {
	session  string
	peer     string
	asking   bool
	answered bool            // its use of the runner is known
	busy     map[string]bool // models its requests may use
	gone     time.Time       // when its process was first known to be gone; zero before
}

// askFormers asks each earlier owner which models its requests still use, and records which owners are gone.
func (o *Owner) askFormers(h *held) {
	for _, f := range h.formers {
		if o.over(f.session) {
			o.formerDone(h, f, "the earlier owner has ended with no request left")
			continue
		}
		o.noteGone(f)
		if !f.asking {
			f.asking = true
			go o.askFormer(h, f)
		}
	}
}

func (o *Owner) askFormer(h *held, f *former) {
	ctx, cancel := context.WithTimeout(o.ctx, askTimeout)
	defer cancel()
	busy, err := o.Busy(ctx, f.session, f.peer, h.spec.Name, h.fence)
	_ = o.Loop.Post(func() {
		f.asking = false
		if err == nil {
			o.formerSaid(h, f, busy)
		}
	})
}

// formerSaid applies the answer of an earlier owner: it starts no more requests, and only the named models are in use.
func (o *Owner) formerSaid(h *held, f *former, busy []string) {
	if len(busy) == 0 {
		o.formerDone(h, f, "the earlier owner has no request left on the runner")
		return
	}
	f.answered = true
	f.busy = map[string]bool{}
	for _, model := range busy {
		f.busy[model] = true
	}
	o.repin(h)
}

// noteGone records since when an earlier owner's process cannot act any more. A lapsed lease does not prove that, since the process may be paused
// between its check and its send. The host list proves it, and so does another process that listens on the same address.
func (o *Owner) noteGone(f *former) {
	if !f.gone.IsZero() {
		return
	}
	if _, live := o.Members.Get(f.session); live {
		return
	}
	if o.Gone(f.peer) || o.replaced(f) {
		f.gone = time.Now()
	}
}

func (o *Owner) replaced(f *former) bool {
	for _, s := range o.Members.Live(time.Now()) {
		if s.Peer == f.peer && s.ID() != f.session {
			return true
		}
	}
	return false
}

// checkFormers forgets earlier owners that are gone. Once a report must be newer than their end, their requests can only use the models that it
// shows running, and those for at most the longest allowed request. On an engine that checks fencing tokens this also holds for owners that
// are not known to be gone, once the engine has seen the new token.
func (o *Owner) checkFormers(h *held, now time.Time, r report.Report) {
	for _, f := range h.formers {
		quiet := f.gone
		if quiet.IsZero() && h.spec.Fences && r.Fence >= h.fence {
			quiet = h.fenced(now)
		}
		if quiet.IsZero() || now.Sub(quiet) <= o.ReportLag {
			continue
		}
		f.narrow(r, quiet.Add(o.MaxRequest), now)
		if len(f.busy) == 0 {
			o.formerDone(h, f, "the earlier owner cannot start anything more and the engine runs nothing of its")
		}
	}
	o.repin(h)
}

// narrow keeps the models that an earlier owner may still use.
func (f *former) narrow(r report.Report, until, now time.Time) {
	if !f.answered {
		f.answered = true
		f.busy = map[string]bool{}
		for model := range r.Running {
			f.busy[model] = true
		}
	}
	for model := range f.busy {
		if r.Running[model] == 0 || now.After(until) {
			delete(f.busy, model)
		}
	}
}

// repin pins the models that earlier owners may still use. Nothing may be unloaded while one of them has not answered and is not known to be gone.
func (o *Owner) repin(h *held) {
	hold := false
	used := map[string]bool{}
	for _, f := range h.formers {
		hold = hold || !f.answered
		for model := range f.busy {
			used[model] = true
		}
	}
	// The models are pinned first: as soon as unloads are allowed, the scheduler may unload a model that is not pinned, which would break off
	// answers that go through the earlier owner.
	for model := range used {
		if !h.pinned[model] {
			o.carry(h, h.sched.Pin(model))
		}
	}
	o.carry(h, h.sched.HoldUnloads(hold))
	for model := range h.pinned {
		if !used[model] {
			o.carry(h, h.sched.Unpin(model))
		}
	}
	h.pinned = used
}

// fenced returns since when the engine is known to reject older fencing tokens.
func (h *held) fenced(now time.Time) time.Time {
	if h.fencedAt.IsZero() {
		h.fencedAt = now
	}
	return h.fencedAt
}

func (o *Owner) formerDone(h *held, f *former, why string) {
	delete(h.formers, f.session)
	o.repin(h)
	if len(h.formers) == 0 {
		h.inherit(time.Now())
	}
	o.Note(reason.Reason{Kind: reason.FormerDone, Text: why + " (session " + f.session + ")", Runner: h.spec.Name, Fence: h.fence}, "")
	o.Log.Info("an earlier owner is done", zap.String("runner", h.spec.Name), zap.String("session", f.session), zap.String("why", why))
	h.row = h.row.WithoutFormer(f.session)
	h.dirty = true
}

// InUse returns, for the successor, the models that this node's requests use on a runner that it owned before the given fencing token. It first
// closes the runner if this node has not learned of the takeover. It must be called on the control goroutine.
func (o *Owner) InUse(name string, fence int64) []string {
	if h := o.held[name]; h != nil && h.fence < fence {
		o.giveUp(h, "another node owns the runner now")
	}
	used := map[string]bool{}
	for _, h := range o.closing {
		if h.spec.Name == name && h.fence < fence {
			h.addUsed(used)
		}
	}
	models := make([]string, 0, len(used))
	for model := range used {
		models = append(models, model)
	}
	return models
}

func (h *held) addUsed(used map[string]bool) {
	for _, a := range h.attempts {
		used[a.call.Model()] = true
	}
	for model := range h.orders {
		used[model] = true
	}
}
