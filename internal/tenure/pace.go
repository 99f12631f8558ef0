package tenure

import (
	"math/rand/v2"
	"time"
)

const (
	// mostEvery is the longest pause between two renewals, with room for a few more within a lease.
	mostEvery = 6 * time.Second
	// slowCall is how long a renewal takes where the store has more to do than it can.
	slowCall = 300 * time.Millisecond
	// stepPause is by how much the pause is shortened after each renewal that was answered soon, and made longer after each that was refused: a refusal
	// alone does not tell a store with too much to do from one that refuses some calls.
	stepPause = 500 * time.Millisecond
	// mostCall bounds one renewal; an answer counts as long as the lease bears, and a connection that fell silent must show.
	mostCall = 2500 * time.Millisecond
	// leastAgain is the shortest pause before a renewal is tried again.
	leastAgain = 200 * time.Millisecond
	// spread is by how much of it each pause differs at most, so that hosts that lost the store together do not come back to it together.
	spread = 0.1
)

// pace is how often this host renews: the less often, the less the store can do. Were all hosts to go on as usual, and to repeat at once what it refuses,
// none of them would be served.
type pace struct {
	every time.Duration // between two renewals; 0 counts as renewEvery
}

// pause returns how long to wait after a renewal that was served.
func (p *pace) pause() time.Duration {
	return spreadOver(max(renewEvery, p.every))
}

// served notes that a renewal was served after so long. One that had to wait tells that hosts ask for more than the store can do, and the others with
// it: were each to yield by steps, they would all be refused again and again until then.
func (p *pace) served(took time.Duration) {
	if took > slowCall {
		p.every = mostEvery
		return
	}
	p.every = max(renewEvery, p.every-stepPause)
}

// refused notes that one was not, and returns how long to wait before the next: a tenth of the usual pause and more, and a sixth of the lease that is
// left where that is less, so that many more are tried in any case.
func (p *pace) refused(left time.Duration) time.Duration {
	p.every = min(mostEvery, max(renewEvery, p.every)+stepPause)
	wait := p.every/10 + rand.N(p.every/5)
	if left > 0 {
		wait = min(wait, left/6)
	}
	return max(leastAgain, wait)
}

// callTime returns how long a renewal may take where so much of the lease is left.
func callTime(left time.Duration) time.Duration {
	return min(mostCall, max(callFor, left/3))
}

func spreadOver(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - spread + 2*spread*rand.Float64()))
}
