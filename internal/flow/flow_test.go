package flow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"damaskreach/internal/flow"
)

// The store of the tests serves as many loads at full speed as users' sites do, and as long ones; with more on their way
// each takes longer in proportion.
const (
	fullSpeed = 8
	work      = 250 * time.Millisecond
	onTime    = 800 * time.Millisecond
	tick      = 5 * time.Millisecond
)

type job struct {
	asked time.Duration
	left  float64 // ms of work
	end   func(now time.Time, counts bool)
}

// play asks for loads at a rate with bursts, from some hosts, for a minute, and returns the share that was done in time and
// the mean time. Without bound all loads begin at once. Hosts serve those that can be in time first. The pattern is that
// of busy hours at which demand moves to other adapters: the store is four fifths taken in the mean, and bursts of a
// second ask for three times as much.
func play(seed uint64, hosts int, bound bool) (share float64, mean time.Duration) {
	r := rand.New(rand.NewPCG(seed, 3))
	begin := time.Unix(0, 0)
	flows := make([]*flow.Flow, hosts)
	queues := make([][]*job, hosts)
	for i := range flows {
		flows[i] = flow.NewFlow()
	}
	var under []*job
	done, good, sum := 0, 0, time.Duration(0)
	for now := time.Duration(0); now < time.Minute; now += tick {
		rate := 22.0
		if now%(5*time.Second) < time.Second {
			rate = 42
		}
		if r.Float64() < rate*tick.Seconds() {
			i := r.IntN(hosts)
			queues[i] = append(queues[i], &job{asked: now, left: float64(work / time.Millisecond)})
		}
		for i := range queues {
			queues[i] = start(flows[i], queues[i], &under, begin, now, bound)
		}
		speed := min(1, float64(fullSpeed)/float64(max(1, len(under)))) * float64(tick/time.Millisecond)
		kept := under[:0]
		for _, j := range under {
			if j.left -= speed; j.left > 0 {
				kept = append(kept, j)
				continue
			}
			if j.end != nil {
				j.end(begin.Add(now), true)
			}
			done++
			took := now - j.asked
			sum += took
			if took <= onTime {
				good++
			}
		}
		under = kept
	}
	return float64(good) / float64(done), sum / time.Duration(done)
}

// start begins as many of a host's loads as it may.
func start(f *flow.Flow, queue []*job, under *[]*job, begin time.Time, now time.Duration, bound bool) []*job {
	for len(queue) > 0 {
		next := 0
		for i, j := range queue {
			if now-j.asked < onTime-work {
				next = i
				break
			}
		}
		j := queue[next]
		if bound {
			end, ok := f.Begin("e", begin.Add(now), begin.Add(now))
			if !ok {
				return queue
			}
			j.end = end
		}
		*under = append(*under, j)
		queue = append(queue[:next], queue[next+1:]...)
	}
	return queue
}

// Bursts ask for more loads than the store carries. Begun all at once they all come late; in turn, most come in time.
func TestBoundedLoadsComeInTimeThroughBursts(t *testing.T) {
	for seed := range uint64(5) {
		free, freeMean := play(seed, 6, false)
		bounded, boundedMean := play(seed, 6, true)
		t.Logf("seed %d: in time %.2f at once, %.2f in turn; mean %v and %v", seed, free, bounded, freeMean, boundedMean)
		if bounded <= free {
			t.Errorf("seed %d: share in time = %.2f, want more than the %.2f of loads at once", seed, bounded, free)
		}
	}
}

// A store that is idle must not be left unused: one host alone opens its window to what the store carries.
func TestOneHostUsesTheWholeStore(t *testing.T) {
	share, mean := play(1, 1, true)
	if share < 0.7 {
		t.Errorf("share in time = %.2f with a mean of %v, want at least 0.7", share, mean)
	}
}

// An engine dies in the middle of loads that never end. Their places must not be lost for the others.
func TestLoadsThatNeverEndFreeTheirPlaces(t *testing.T) {
	f := flow.NewFlow()
	now := time.Unix(0, 0)
	for {
		if _, ok := f.Begin("e", now, now); !ok {
			break
		}
	}
	if _, ok := f.Begin("e", now.Add(time.Minute), now.Add(time.Minute)); !ok {
		t.Error("no load may begin a minute later, want one")
	}
}

// Three engines want loads and one may begin. The one whose request can still be on time goes first, the soonest of those,
// also where others have asked before; one that has stopped asking holds up nobody.
func TestLoadsThatCanBeOnTimeGoFirst(t *testing.T) {
	f := flow.NewFlow()
	now := time.Unix(0, 0)
	var ends []func(now time.Time, counts bool)
	for {
		end, ok := f.Begin("full", now.Add(time.Hour), now)
		if !ok {
			break
		}
		ends = append(ends, end)
	}
	by := map[string]time.Time{"late": now.Add(-time.Second), "later": now.Add(time.Second), "soon": now.Add(200 * time.Millisecond)}
	for engine, when := range by {
		if _, ok := f.Begin(engine, when, now); ok {
			t.Errorf("%s began, want none to begin while the store is full", engine)
		}
	}
	for _, want := range []string{"soon", "later", "late"} {
		now = now.Add(30 * time.Millisecond)
		ends[0](now, false)
		ends = ends[1:]
		var began []string
		for _, engine := range []string{"late", "later", "soon"} {
			if by[engine].IsZero() {
				continue
			}
			if _, ok := f.Begin(engine, by[engine], now); ok {
				began = append(began, engine)
				delete(by, engine)
			}
		}
		if len(began) != 1 || began[0] != want {
			t.Errorf("began %v, want %s", began, want)
		}
	}
}
