package flow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"damaskreach/internal/flow"
)

// The simulated store has the capacity and load time of users' sites; with more loads in flight each takes longer in
// proportion.
const (
	fullSpeed = 8
	loadTime  = 250 * time.Millisecond
	onTime    = 800 * time.Millisecond
	tick      = 5 * time.Millisecond
)

type job struct {
	requestedAt time.Duration
	left        float64 // ms of work
	end         func(now time.Time, counts bool)
}

// simulate runs a minute of loads from some hosts and returns the share done in time and the mean time. Without bound all
// loads begin at once. Hosts serve loads that can be in time first. The pattern is that of busy hours in which demand moves to
// other adapters: a mean utilisation of four fifths, with bursts of a second at three times the rate.
func simulate(seed uint64, hosts int, bound bool) (share float64, mean time.Duration) {
	r := rand.New(rand.NewPCG(seed, 3))
	begin := time.Unix(0, 0)
	flows := make([]*flow.Flow, hosts)
	queues := make([][]*job, hosts)
	for i := range flows {
		flows[i] = flow.NewFlow()
	}
	var inFlight []*job
	done, inTime, sum := 0, 0, time.Duration(0)
	for now := time.Duration(0); now < time.Minute; now += tick {
		rate := 22.0
		if now%(5*time.Second) < time.Second {
			rate = 42
		}
		if r.Float64() < rate*tick.Seconds() {
			i := r.IntN(hosts)
			queues[i] = append(queues[i], &job{requestedAt: now, left: float64(loadTime / time.Millisecond)})
		}
		for i := range queues {
			queues[i] = startLoads(flows[i], queues[i], &inFlight, begin, now, bound)
		}
		speed := min(1, float64(fullSpeed)/float64(max(1, len(inFlight)))) * float64(tick/time.Millisecond)
		kept := inFlight[:0]
		for _, j := range inFlight {
			if j.left -= speed; j.left > 0 {
				kept = append(kept, j)
				continue
			}
			if j.end != nil {
				j.end(begin.Add(now), true)
			}
			done++
			took := now - j.requestedAt
			sum += took
			if took <= onTime {
				inTime++
			}
		}
		inFlight = kept
	}
	return float64(inTime) / float64(done), sum / time.Duration(done)
}

// startLoads begins as many of a host's loads as its window allows.
func startLoads(f *flow.Flow, queue []*job, inFlight *[]*job, begin time.Time, now time.Duration, bound bool) []*job {
	for len(queue) > 0 {
		next := 0
		for i, j := range queue {
			if now-j.requestedAt < onTime-loadTime {
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
		*inFlight = append(*inFlight, j)
		queue = append(queue[:next], queue[next+1:]...)
	}
	return queue
}

// Bursts exceed the store's capacity. Begun at once, all loads are late; with the window most are in time.
func TestBoundedLoadsMeetDeadlinesInBursts(t *testing.T) {
	for seed := range uint64(5) {
		free, freeMean := simulate(seed, 6, false)
		bounded, boundedMean := simulate(seed, 6, true)
		t.Logf("seed %d: share in time %.2f unbounded, %.2f bounded; mean %v and %v", seed, free, bounded, freeMean, boundedMean)
		if bounded <= free {
			t.Errorf("seed %d: share in time = %.2f, want more than the %.2f of unbounded loads", seed, bounded, free)
		}
	}
}

// A single host must open its window to the store's capacity, or the store stays idle.
func TestSingleHostOpensWindowToStoreCapacity(t *testing.T) {
	share, mean := simulate(1, 1, true)
	if share < 0.7 {
		t.Errorf("share in time = %.2f with a mean of %v, want at least 0.7", share, mean)
	}
}

// An engine dies during loads that never end. They must not occupy the window for good.
func TestLoadsThatNeverEndTimeOut(t *testing.T) {
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

// Three engines wait for one place. Loads that can be in time begin first, by deadline, whatever the order of arrival; an
// engine that no longer asks blocks nobody.
func TestLoadsWithinDeadlineBeginFirst(t *testing.T) {
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
