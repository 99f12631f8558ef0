package soak

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"damaskreach/internal/action"
	"damaskreach/internal/host"
	"damaskreach/internal/lease"
	"damaskreach/internal/owner"
	"damaskreach/internal/stand/site"
)

// failure is one kind of failure; play returns when it has ended.
type failure struct {
	name string
	play func(s *Soak, r *rand.Rand, last time.Duration)
}

var failures = []failure{
	{"kill and restart of a node", (*Soak).kill},
	{"death of half of the nodes", (*Soak).killHalf},
	{"shutdown and restart of a node", (*Soak).drain},
	{"frozen node", (*Soak).freeze},
	{"node paused at a point", (*Soak).pauseAt},
	{"table down", (*Soak).tableDown},
	{"table slow", (*Soak).tableSlow},
	{"lost answers of the table", (*Soak).loseAnswers},
	{"lagging replica", (*Soak).lag},
	{"node cut off from the table", (*Soak).cutTable},
	{"two nodes cut off from each other", (*Soak).cutPeers},
	{"node cut off from an engine", (*Soak).cutEngine},
	{"broken connections", (*Soak).breakConns},
	{"crash of an engine", (*Soak).crash},
	{"failing loads", (*Soak).failLoads},
	{"slow engine", (*Soak).slowEngine},
	{"host list that lies", (*Soak).lie},
	{"runner marked as leaving", (*Soak).leave},
	{"edits", (*Soak).edit},
}

var points = []string{lease.BeforeRenew, lease.AfterRenew, owner.BeforeStart, owner.BeforeUnload, owner.BeforeTake}

func parted(i int) string { return fmt.Sprintf("parted %d", i) }
func alive(i int) string  { return fmt.Sprintf("alive %d", i) }

// turn counts a failure in or out and reports whether it is the first in effect or the last to end.
func (s *Soak) turn(key string, by int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on[key] += by
	return s.on[key] == max(by, 0)
}

// during has a failure in effect for a time, once however often it is played.
func (s *Soak) during(key string, last time.Duration, on, off func()) {
	if s.turn(key, 1) {
		on()
	}
	time.Sleep(last)
	if s.turn(key, -1) {
		off()
	}
}

// part records that nodes cannot learn of new revisions until the function returned is called.
func (s *Soak) part(nodes ...int) (join func()) {
	for _, i := range nodes {
		if s.turn(parted(i), 1) {
			s.Note(action.Action{Kind: action.Part, Process: s.Process(i)})
		}
	}
	return func() {
		for _, i := range nodes {
			if s.turn(parted(i), -1) && s.Up(i) {
				s.Note(action.Action{Kind: action.Join, Process: s.Process(i)})
			}
		}
	}
}

func (s *Soak) partAll() (join func()) {
	all := make([]int, s.nodes)
	for i := range all {
		all[i] = i
	}
	return s.part(all...)
}

// claim takes node i for a failure that ends its process; false means that another one has it.
func (s *Soak) claim(i int) bool {
	if s.turn(alive(i), 1) {
		return true
	}
	s.turn(alive(i), -1)
	return false
}

func (s *Soak) kill(r *rand.Rand, last time.Duration) {
	s.killOne(r.IntN(s.nodes), last)
}

func (s *Soak) killOne(i int, last time.Duration) {
	if !s.claim(i) {
		return
	}
	s.KillNode(i)
	s.Hosts.Set(host.Host{Addr: site.Host(i), State: host.Gone})
	time.Sleep(last)
	s.start(i)
	s.turn(alive(i), -1)
}

func (s *Soak) killHalf(r *rand.Rand, last time.Duration) {
	for _, i := range r.Perm(s.nodes)[:s.nodes/2] {
		s.faults.Go(func() { s.killOne(i, last) })
	}
}

func (s *Soak) drain(r *rand.Rand, last time.Duration) {
	i := r.IntN(s.nodes)
	if !s.claim(i) {
		return
	}
	n := s.Node(i)
	n.Drain()
	time.Sleep(n.Conf.EntriesLife)
	s.mu.Lock()
	s.shut[i] = true
	s.mu.Unlock()
	s.Wait(i)
	s.Hosts.Set(host.Host{Addr: site.Host(i), State: host.Gone})
	time.Sleep(last)
	s.start(i)
	s.turn(alive(i), -1)
}

func (s *Soak) freeze(r *rand.Rand, last time.Duration) {
	s.freezeOne(r.IntN(s.nodes), last)
}

func (s *Soak) freezeOne(i int, last time.Duration) {
	defer s.part(i)()
	s.cut(i, last, func() { s.Net.Freeze(site.Host(i)) }, func() { s.Net.Thaw(site.Host(i)) })
}

// cut cuts node i off from the table, and does what else comes with that.
func (s *Soak) cut(i int, last time.Duration, on, off func()) {
	name := fmt.Sprintf("node-%d", i)
	on()
	s.during("table of "+name, last, func() { s.DB.CutClient(name, true) }, func() { s.DB.CutClient(name, false) })
	off()
}

func (s *Soak) pauseAt(r *rand.Rand, last time.Duration) {
	i, point := r.IntN(s.nodes), points[r.IntN(len(points))]
	woke := make(chan struct{})
	var reached atomic.Bool
	n := s.Node(i)
	n.SetPause(func(p string) {
		switch {
		case p != point:
		case !reached.CompareAndSwap(false, true):
			<-woke
		default:
			s.freezeOne(i, last)
			close(woke)
		}
	})
	time.Sleep(longest)
	if reached.CompareAndSwap(false, true) {
		close(woke)
	}
	<-woke
}

func (s *Soak) tableDown(_ *rand.Rand, last time.Duration) {
	defer s.partAll()()
	s.during("table down", last, func() { s.DB.SetDown(true) }, func() { s.DB.SetDown(false) })
}

func (s *Soak) tableSlow(r *rand.Rand, last time.Duration) {
	defer s.partAll()()
	slow := time.Duration(1+r.IntN(20)) * time.Second
	s.during("table slow", last, func() { s.DB.SetSlow(slow) }, func() { s.DB.SetSlow(0) })
	time.Sleep(slow) // for calls under way
}

func (s *Soak) loseAnswers(r *rand.Rand, _ time.Duration) {
	s.DB.LoseAnswers(1 + r.IntN(20))
}

func (s *Soak) lag(r *rand.Rand, last time.Duration) {
	defer s.partAll()()
	lag, every := time.Duration(r.Int64N(int64(time.Minute))), 1+r.IntN(2)
	s.during("lag", last, func() { s.DB.SetLag(lag, every) }, func() { s.DB.SetLag(0, 1) })
}

func (s *Soak) cutTable(r *rand.Rand, last time.Duration) {
	i := r.IntN(s.nodes)
	defer s.part(i)()
	s.cut(i, last, func() {}, func() {})
}

func (s *Soak) cutPeers(r *rand.Rand, last time.Duration) {
	two := r.Perm(s.nodes)
	s.cutLink(site.Host(min(two[0], two[1])), site.Host(max(two[0], two[1])), last)
}

func (s *Soak) cutEngine(r *rand.Rand, last time.Duration) {
	s.cutLink(site.Host(r.IntN(s.nodes)), site.EngineHost(r.IntN(len(s.Engines))), last)
}

func (s *Soak) cutLink(a, b string, last time.Duration) {
	s.during(a+" "+b, last, func() { s.Net.Cut(a, b) }, func() { s.Net.Heal(a, b) })
}

func (s *Soak) breakConns(r *rand.Rand, _ time.Duration) {
	two := r.Perm(s.nodes)
	s.Net.Break(site.Host(two[0]), site.Host(two[1]))
	s.Net.Break(site.Host(two[0]), site.EngineHost(r.IntN(len(s.Engines))))
}

func (s *Soak) crash(r *rand.Rand, _ time.Duration) {
	s.Engines[r.IntN(len(s.Engines))].Crash()
}

func (s *Soak) failLoads(r *rand.Rand, _ time.Duration) {
	s.Engines[r.IntN(len(s.Engines))].FailLoads(1 + r.IntN(5))
}

func (s *Soak) slowEngine(r *rand.Rand, last time.Duration) {
	i := r.IntN(len(s.Engines))
	s.during(fmt.Sprintf("slow %d", i), last, func() { s.Engines[i].Slow(5) }, func() { s.Engines[i].Slow(1) })
}

// lie makes the host list wrong. That it calls a live node gone is left out where engines ignore fences:
// there the list's word alone frees the models of a node that may only be paused, see docs/PROOFS.md.
func (s *Soak) lie(r *rand.Rand, last time.Duration) {
	addr, state := site.Host(r.IntN(s.nodes)), host.Live
	if s.Fences && r.IntN(2) == 0 {
		state = host.Gone
	}
	s.during("lie on "+addr, last, func() { s.Hosts.Lie(addr, state) }, func() { s.Hosts.Lie(addr, "") })
}

func (s *Soak) leave(r *rand.Rand, last time.Duration) {
	i := r.IntN(len(s.Engines))
	s.during(fmt.Sprintf("leaving %d", i), last,
		func() { _ = s.MarkLeaving(s.ctx, i, true) }, // it fails while the table is down, as an operator's would
		func() { s.unmark(i) })
}

// unmark takes a mark back, however long the table fails.
func (s *Soak) unmark(i int) {
	for s.MarkLeaving(s.ctx, i, false) != nil {
		time.Sleep(time.Second)
	}
}

func (s *Soak) edit(r *rand.Rand, _ time.Duration) {
	for range 3 {
		name := fmt.Sprintf("edited-%d", r.Uint32())
		_, _ = s.Apply(s.ctx, site.Row("adapter", name, s.Adapter(name))) // as above
		time.Sleep(time.Second)
	}
}
