//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// confIn is how long after its acknowledgement a version of the configuration may not be in force.
	confIn = 2 * time.Second
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 5 * time.Second
	// operatorsAgain is how long after the return operators write again what is lost.
	operatorsAgain = 400 * time.Millisecond
	// startsIn is how long a host that has started may take until it has in force what others have.
	startsIn = 3 * time.Second
	// callsBeside is how many calls each host may make beside the usual ones when the store has come back: three of each kind of rows, to find out
	// that they are of another era, to read them and to go on from there, and three writes of its own.
	callsBeside = 12
)

// drill is a fleet whose store comes back from a copy.
type drill struct {
	*fleet
	luck  *rand.Rand
	acked map[int64]time.Time // when the store took each version of the configuration
	last  int64               // newest of them
	kept  int64               // newest of them before the return
	back  time.Time           // when the store was back
}

// configure writes a version of the configuration.
func (d *drill) configure() {
	d.last++
	d.acked[d.last] = time.Now()
	d.store.put("op/config", strconv.FormatInt(d.last, 10))
}

// newDrill starts hosts, and has operators and upstreams write what will be lost: versions of the configuration, upstreams that
// begin to leave, ones that vanish and ones that are new. Then the store is away, and comes back.
func newDrill(t *testing.T, seed uint64, hosts int, away time.Duration) *drill {
	d := &drill{fleet: newFleet(t, hosts, 4, 112), luck: rand.New(rand.NewPCG(seed, 41)), acked: map[int64]time.Time{}, last: 1}
	time.Sleep(15 * time.Second)
	copied := d.store.copied()
	for n := range 5 {
		d.configure()
		d.leave(fmt.Sprint("u", n))
		d.vanish(fmt.Sprint("u", 10+n))
		go d.register(t.Context(), fmt.Sprint("new", n), 0)
		time.Sleep(copyAge / 5)
	}
	for _, host := range d.hosts {
		d.store.refuse(host, true)
	}
	time.Sleep(away)
	d.store.comeBack(copied)
	d.store.serve()
	d.store.count()
	d.back = time.Now()
	d.again(t.Context())
	return d
}

// again has operators and upstreams write again what they wrote since the copy.
func (d *drill) again(ctx context.Context) {
	d.kept = d.last
	time.Sleep(operatorsAgain)
	d.store.put("op/config", strconv.FormatInt(d.last, 10))
	later := func(wait time.Duration, do func()) {
		go func() {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
				do()
			}
		}()
	}
	for n := range 5 {
		later(time.Duration(d.luck.Int64N(int64(beat))), func() { d.store.put(fmt.Sprint("servers/u", n), leaving) })
		later(beat+time.Duration(d.luck.Int64N(int64(beat))), func() { d.store.drop(fmt.Sprint("servers/u", 10+n)) })
	}
}

// since returns what hosts wrote of something after the store was back.
func (d *drill) since(text string) (list []line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.said {
		if l.text == text && l.at.After(d.back) {
			list = append(list, l)
		}
	}
	return list
}

// wantInForce checks that each host applied each version that came after the return in time, and none after a later one.
func (d *drill) wantInForce() {
	d.t.Helper()
	at := map[string]map[int64]time.Time{}
	newest := map[string]int64{}
	for _, host := range d.hosts {
		newest[host] = d.kept
	}
	for _, l := range d.since("configuration applied") {
		if l.version < newest[l.host] {
			d.t.Errorf("%s applied version %d after %d", l.host, l.version, newest[l.host])
		}
		if at[l.host] == nil {
			at[l.host] = map[int64]time.Time{}
		}
		for v := newest[l.host] + 1; v <= l.version; v++ {
			at[l.host][v] = l.at
		}
		newest[l.host] = max(newest[l.host], l.version)
	}
	late, worst := 0, time.Duration(0)
	for version, acked := range d.acked {
		for _, host := range d.hosts {
			if acked.Before(d.back) {
				continue
			}
			took := time.Since(acked)
			if !at[host][version].IsZero() {
				took = at[host][version].Sub(acked)
			}
			worst = max(worst, took)
			if took > confIn {
				late++
			}
		}
	}
	d.t.Logf("versions are in force after %v at most", worst)
	if late > 0 {
		d.t.Errorf("%d times a version was not in force at a host after %v, the latest after %v", late, confIn, worst)
	}
}

// eachDrill plays test on sites of several sizes, whose store is away for long enough to be missed by all hosts, or only by the one that reads.
func eachDrill(t *testing.T, test func(d *drill)) {
	t.Helper()
	for _, site := range []struct {
		hosts int
		away  time.Duration
	}{{7, 100 * time.Millisecond}, {24, 2 * time.Second}, {60, 100 * time.Millisecond}} {
		t.Run(fmt.Sprint(site.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(newDrill(t, 1, site.hosts, site.away)) })
		})
	}
}

// The store comes back from a copy and gives its versions out again. A configuration acknowledged after that must be in force in time at every
// host, those that let others read for them too.
func TestChangesAreInForceAfterACopy(t *testing.T) {
	eachDrill(t, func(d *drill) {
		for range 8 {
			d.configure()
			time.Sleep(900 * time.Millisecond)
		}
		time.Sleep(confIn)
		d.wantInForce()
	})
}

// Upstreams begin to leave after the store is back. Each host must know in time, whatever it knew of the era before.
func TestLeavingAfterACopyIsKnownInTime(t *testing.T) {
	eachDrill(t, func(d *drill) {
		for n := range 20 {
			time.Sleep(200 * time.Millisecond)
			d.leave(fmt.Sprint("u", 20+n))
		}
		time.Sleep(drain)
		d.wantKnown(drain - atHost)
	})
}

// wantNone checks that hosts wrote nothing of a kind after the return.
func (d *drill) wantNone(text, why string, wrong func(l line) bool) {
	d.t.Helper()
	times, example := 0, line{}
	for _, l := range d.since(text) {
		if wrong(l) {
			times++
			example = l
		}
	}
	if times > 0 {
		d.t.Errorf("%d times %s: %s at %s, %v after the return", times, why, example.target, example.host, example.at.Sub(d.back))
	}
}

// Upstreams have begun to leave, and the copy says that they are ready. Taken for that, they get requests until they say so again.
func TestLeavingUpstreamStaysSoAfterACopy(t *testing.T) {
	eachDrill(t, func(d *drill) {
		time.Sleep(5 * time.Second)
		d.wantNone("upstream leaves", "an upstream that leaves became ready again", func(l line) bool { return !l.leaves })
	})
}

// Registrations of upstreams that are gone are in the copy. Taken for news, they bring back upstreams that end unseen.
func TestVanishedUpstreamStaysGoneAfterACopy(t *testing.T) {
	eachDrill(t, func(d *drill) {
		time.Sleep(5 * time.Second)
		d.wantNone("upstream found", "an upstream came back from the copy", func(l line) bool { return !d.left[l.target].IsZero() })
	})
}

// Registrations of new upstreams are lost with the copy, and written again within a moment. Taken as gone meanwhile, they would lose their
// requests, and all of them at once where all are new.
func TestNewUpstreamOutlastsACopy(t *testing.T) {
	eachDrill(t, func(d *drill) {
		time.Sleep(5 * time.Second)
		d.wantNone("upstream gone", "an upstream was dropped that is new", func(l line) bool { return l.target[:3] == "new" })
	})
}

// Every host reads what there is in a new era. Reading again and again, or each for itself without need, they would keep the store from serving.
func TestStoreThatComesBackFromACopyIsNotStormed(t *testing.T) {
	eachDrill(t, func(d *drill) {
		time.Sleep(8 * time.Second)
		after, _ := d.store.count()
		time.Sleep(20 * time.Second)
		d.store.count()
		time.Sleep(8 * time.Second)
		usual, _ := d.store.count()
		d.t.Logf("%d calls in 8 s after the return, %d later", after, usual)
		if most := usual + callsBeside*len(d.hosts); after > most {
			d.t.Errorf("the store got %d calls in the 8 s after its return, want %d at most", after, most)
		}
	})
}

// The store turns some hosts away when it comes back from a copy. They learn of the new era from others alone; without what is registered in it they
// would go on sending requests to upstreams that leave.
func TestHostsTurnedAwayAfterACopyLearnOfLeaving(t *testing.T) {
	eachDrill(t, func(d *drill) {
		time.Sleep(5 * time.Second)
		d.turnAway(d.luck, 0.3)
		d.store.comeBack(d.store.copied())
		time.Sleep(time.Second)
		for n := range 10 {
			time.Sleep(300 * time.Millisecond)
			d.leave(fmt.Sprint("u", 20+n))
		}
		time.Sleep(drain)
		d.wantKnown(drain - atHost)
	})
}

// A host starts when the store is back, and before operators have written again what is lost. All others have the newer configuration in force; by the
// copy, this one would serve what operators took away.
func TestHostThatStartsAfterACopyHasTheConfigurationInForce(t *testing.T) {
	for _, hosts := range []int{7, 24} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &drill{fleet: newFleet(t, hosts, 4, 112), luck: rand.New(rand.NewPCG(1, 41)), acked: map[int64]time.Time{}, last: 1}
				time.Sleep(15 * time.Second)
				copied := d.store.copied()
				d.configure()
				time.Sleep(copyAge)
				d.store.comeBack(copied)
				d.back = time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				d.start(ctx, hosts)
				time.Sleep(startsIn)
				newest := int64(0)
				for _, l := range d.since("configuration applied") {
					if l.host == hostIP(hosts) {
						newest = max(newest, l.version)
					}
				}
				if newest != d.last {
					t.Errorf("version in force = %d, want %d as at all others", newest, d.last)
				}
			})
		})
	}
}
