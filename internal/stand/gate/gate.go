// Package gate gives the stand-ins of the platform's services their common faults.
package gate

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Gate is what each call of a service passes on its way in and out.
// Its methods may be called from several goroutines.
type Gate struct {
	errDown error // what a call that is not taken answers
	errLost error // what a call whose answer is lost answers

	mu     sync.Mutex
	down   bool
	slow   time.Duration
	lose   int
	cut    map[string]bool
	writes *rate.Limiter
	reads  *rate.Limiter
}

// NewGate returns a gate without faults or rate limits. Calls it does not take answer down;
// calls that may have taken effect answer lost.
func NewGate(down, lost error) *Gate {
	return &Gate{
		errDown: down,
		errLost: lost,
		cut:     map[string]bool{},
		writes:  rate.NewLimiter(rate.Inf, 1),
		reads:   rate.NewLimiter(rate.Inf, 1),
	}
}

// SetDown makes the service refuse all calls; a call already in line loses its answer and has no effect.
func (g *Gate) SetDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
}

// SetSlow makes each call take that long: half before its effect and half after it.
// A caller that gives up early therefore cannot tell whether its write took effect, or still will.
func (g *Gate) SetSlow(slow time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slow = slow
}

// LoseAnswers makes the next n successful writes take effect and lose their answers.
func (g *Gate) LoseAnswers(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lose = n
}

// CutClient cuts a client off or connects it again; answers on their way to it are lost.
func (g *Gate) CutClient(client string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[client] = cut
}

// SetRates sets how many writes and reads the service carries out in a second; 0 means no limit.
// Calls above the rate wait in line, in the order in which they came.
func (g *Gate) SetRates(writes, reads int) {
	g.writes.SetLimit(limit(writes))
	g.reads.SetLimit(limit(reads))
}

func limit(perSecond int) rate.Limit {
	if perSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// refuses reports whether a new call of the client is not taken.
func (g *Gate) refuses(client string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down || g.cut[client]
}

// loses reports whether the answer to a successful write is to be lost, and counts it.
func (g *Gate) loses() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lose == 0 {
		return false
	}
	g.lose--
	return true
}

func (g *Gate) slowness() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slow
}

func (g *Gate) isDown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down
}
