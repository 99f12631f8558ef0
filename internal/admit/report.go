package admit

import (
	"context"
	"slices"
	"strconv"
	"time"

	"damaskreach/internal/loop"
	"damaskreach/internal/peer"
	"damaskreach/internal/sess"
)

const (
	methodLimits = "limits"
	every        = 500 * time.Millisecond // use that is told at once, and asked for at once, is at most two of these old
	askTimeout   = time.Second
	firstTimeout = 200 * time.Millisecond // that a call waits for a home
)

// report is what a node used of limits that another gathers. A process that replaces another at its address counts
// beside it: in place of it, what the former used within the last minute would be let through once more.
type report struct {
	Life uint32    `msgpack:"l"` // of the reporting process
	Keys []string  `msgpack:"k"`
	Used []float64 `msgpack:"u"`
}

// said is what the others used of the same limits.
type said struct {
	Life uint32    `msgpack:"l"` // of the answering process
	Sure bool      `msgpack:"s"` // it has heard of all
	Used []float64 `msgpack:"u"`
}

// register answers nodes whose limits this one gathers.
func (a *Admit) register() {
	peer.Answer(a.Mesh, methodLimits, func(ctx context.Context, _ string, r report) (said, error) {
		if len(r.Keys) != len(r.Used) {
			return said{}, errReport
		}
		return loop.Get(ctx, a.Loop, func() said { return a.take(r) })
	})
}

// take runs on the control goroutine.
func (a *Admit) take(r report) said {
	used, sure := a.sums.Take(time.Now(), r.Life, r.Keys, r.Used)
	return said{Life: a.life, Sure: sure, Used: used}
}

// look takes in which nodes there are. A node that does not see itself among them has not read the sessions yet: it is
// not alone because it knows of nobody, and would let a whole limit through.
func (a *Admit) look(ctx context.Context) {
	nodes := a.Serving()
	moved := a.homes.set(nodes)
	others := len(a.Peers())
	if !slices.ContainsFunc(nodes, func(s sess.Session) bool { return s.Peer == a.Self }) {
		others = max(others, 1)
	}
	_ = a.Loop.Do(ctx, func() {
		a.limit.Among(others)
		if moved {
			a.sums.Moved(time.Now())
		}
	}) // a stopped node needs none
}

// tell reports to each home what this node used; of a limit that it uses no more it says so once.
func (a *Admit) tell(ctx context.Context) {
	used, err := loop.Get(ctx, a.Loop, func() map[string]float64 { return a.limit.Used(time.Now()) })
	if err != nil {
		return
	}
	keys := make(map[string]bool, len(used))
	for key := range used {
		keys[key] = true
	}
	for key := range a.sent {
		if !keys[key] {
			used[key] = 0
		}
	}
	a.sent = keys
	for home, r := range a.homes.group(used) {
		go a.ask(ctx, home, r, askTimeout)
	}
}

// first asks the homes of keys that this node begins to use and waits for them. Without it the first node to admit
// calls would let a part of the limit through that others have used up.
func (a *Admit) first(ctx context.Context, keys []string) {
	used := make(map[string]float64, len(keys))
	for _, key := range keys {
		used[key] = 0
	}
	for home, r := range a.homes.group(used) {
		if home.Peer == a.Self || !a.Mesh.Down(home.Peer) {
			a.ask(ctx, home, r, firstTimeout)
		}
	}
}

// ask reports to one home and takes in its answer; without one the next report repeats it.
func (a *Admit) ask(ctx context.Context, home sess.Session, r report, patience time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r.Life = a.life
	if home.Peer == a.Self {
		_ = a.Loop.Do(ctx, func() { a.learn(r, a.take(r)) }) // a stopped node needs none
		return
	}
	var s said
	if err := a.Mesh.Ask(ctx, home.Peer, methodLimits, r, &s); err != nil || len(s.Used) != len(r.Keys) {
		return
	}
	_ = a.Loop.Do(ctx, func() { a.learn(r, s) }) // see above
}

// learn runs on the control goroutine.
func (a *Admit) learn(r report, s said) {
	elsewhere := make(map[string]float64, len(r.Keys))
	for i, key := range r.Keys {
		elsewhere[key] = s.Used[i]
	}
	a.limit.Learn(time.Now(), strconv.FormatUint(uint64(s.Life), 10), s.Sure, elsewhere)
}
