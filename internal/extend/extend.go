// Package extend prolongs a node's lease by its peers' promises while the node cannot renew it in the table service.
//
// A lease lapses during an outage of the table service, although then nobody can take over. Engines that honour fences
// refuse an old owner themselves, so their owners go on anyway; engines that ignore fences would stand idle for the whole
// outage. So a node that cannot renew asks every other node of its site to promise not to end its session for one term,
// and counts the term from before it asked. The promise must be unanimous: any node left out could be the one that
// reaches the table service and takes over. A node the host list calls gone need not be asked.
package extend

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/lease"
	"damaskreach/internal/loop"
	"damaskreach/internal/member"
	"damaskreach/internal/peer"
	"damaskreach/internal/sess"
	"damaskreach/internal/ticker"
)

const (
	methodSpare = "spare"
	askTimeout  = time.Second
)

// answer is what a peer says to a request for a promise. The greater outweighs the lesser ones of other peers.
type answer int

const (
	promised answer = iota
	silent
	refused
)

// Extend asks for and gives promises. The fields are set before Register and not changed afterwards.
type Extend struct {
	Loop    *loop.Loop
	Lease   *lease.Lease
	Members *member.Member
	Mesh    *peer.Mesh
	Log     *zap.Logger
	Term    time.Duration // of a lease
	Every   time.Duration // interval of renewals
	// Gone reports whether the host list says that the host of an address is gone.
	Gone func(peer string) bool
	// Ending reports whether this node is just ending the session of a row; it runs on the control goroutine.
	Ending func(key string) bool
}

type spareAsk struct {
	Session string `msgpack:"session"`
	Key     string `msgpack:"key"`
}

type spareSaid struct {
	Promised bool `msgpack:"promised"`
}

// Register answers other nodes' requests for a promise.
func (e *Extend) Register() {
	peer.Answer(e.Mesh, methodSpare, func(ctx context.Context, _ string, q spareAsk) (spareSaid, error) {
		promised, err := loop.Get(ctx, e.Loop, func() bool { return e.promise(q) })
		return spareSaid{Promised: promised}, err
	})
}

func (e *Extend) promise(q spareAsk) bool {
	if e.Ending(q.Key) {
		return false
	}
	now := time.Now()
	return e.Members.Spare(now, q.Session, now.Add(e.Term))
}

// Run asks for promises whenever a renewal is overdue, until ctx ends.
func (e *Extend) Run(ctx context.Context) {
	for range ticker.Every(ctx, e.Every) {
		if e.overdue() {
			e.ask(ctx)
		}
	}
}

// overdue reports whether less is left of the term than one renewal missed explains. Asked for any later, a promise
// would come after the term had ended, and engines that ignore fences would stand idle in between.
func (e *Extend) overdue() bool {
	return e.Lease.Left() < e.Term-e.Every-e.Every/2
}

func (e *Extend) ask(ctx context.Context) {
	begin := time.Now()
	me := e.Lease.Session()
	others, err := loop.Get(ctx, e.Loop, func() []sess.Session { return e.others(me) })
	if err != nil {
		return
	}
	switch e.poll(ctx, me, others) {
	case promised:
		e.Lease.Extend(me.ID(), begin.Add(e.Term))
		e.Log.Info("peers extended the lease", zap.String("session", me.ID()), zap.Int("peers", len(others)))
	case refused:
		e.renew(ctx)
	}
}

// renew renews the lease after a peer's refusal: the peer reads the table service, which may have just come back. Left to
// the renewal under way, which may have been sent before, all leases of a site would lapse together and its callers be refused.
func (e *Extend) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.Every/2) // well before the next turn
	defer cancel()
	e.Lease.Renew(ctx)
}

func (e *Extend) others(me sess.Session) []sess.Session {
	var others []sess.Session
	for _, s := range e.Members.Live(time.Now()) {
		if s.ID() != me.ID() && !e.Gone(s.Peer) {
			others = append(others, s)
		}
	}
	return others
}

// poll asks all at once and returns what their answers come to: a refusal by one is refused, and only the promises of all are
// promised. A node alone has nobody who could take over, and nobody to tell it that this is so.
func (e *Extend) poll(ctx context.Context, me sess.Session, others []sess.Session) answer {
	if len(others) == 0 {
		return silent
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan answer, len(others))
	for _, s := range others {
		go func() { answers <- e.askOne(ctx, me, s.Peer) }()
	}
	all := promised
	for range others {
		all = max(all, <-answers)
		if all == refused {
			break
		}
	}
	return all
}

func (e *Extend) askOne(ctx context.Context, me sess.Session, peer string) answer {
	var said spareSaid
	err := e.Mesh.Ask(ctx, peer, methodSpare, spareAsk{Session: me.ID(), Key: me.Key()}, &said)
	switch {
	case err != nil:
		return silent
	case said.Promised:
		return promised
	default:
		return refused
	}
}
