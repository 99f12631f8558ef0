package mates_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/gossip"
	"damaskreach/internal/marks"
	"damaskreach/internal/mate"
	"damaskreach/internal/mates"
	"damaskreach/internal/rhythm"
	"damaskreach/internal/roster"
	"damaskreach/internal/status"
	"damaskreach/internal/stock"
	"damaskreach/internal/usage"
)

// sites is an additional number of hosts and data centres, for large sites run by hand.
var sites = flag.String("sites", "", "also this site: HOSTS/CENTRES")

func sizes(t *testing.T) [][2]int {
	list := [][2]int{{3, 3}, {6, 3}, {7, 3}, {8, 4}, {30, 5}, {72, 4}}
	if *sites != "" {
		var hosts, centres int
		if _, err := fmt.Sscanf(*sites, "%d/%d", &hosts, &centres); err != nil {
			t.Fatalf("sites = %q, want HOSTS/CENTRES: %v", *sites, err)
		}
		list = append(list, [2]int{hosts, centres})
	}
	return list
}

func times(size [2]int) rhythm.Rhythm {
	return rhythm.NewRhythm((size[0]+size[1]-1)/size[1], size[1])
}

// A site starts, and all hosts know each other within seconds and from then on. If the message interval exceeded the silence
// timeout, hosts would be lost and reached all day.
func TestHostsStayAlive(t *testing.T) {
	for _, size := range sizes(t) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size[0], size[1])
			time.Sleep(5 * time.Second)
			for range 20 {
				f.wantAlive(fmt.Sprint(size), size[0]-1, nil)
				time.Sleep(170 * time.Millisecond)
			}
		})
	}
}

// A site grows. What a host sends, receives and keeps open must not grow with the number of hosts, or small hosts do little else.
func TestCostPerHostIsBounded(t *testing.T) {
	const span = 10
	for _, size := range sizes(t) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size[0], size[1])
			time.Sleep(5 * time.Second)
			f.count()
			time.Sleep(span * time.Second)
			sent, bytes, pairs, busiest := f.count()
			hosts := float64(size[0])
			t.Logf("%4d hosts in %2d data centres: a host %.1f messages and %.0f B a second, %.1f connections; a relay %.0f messages",
				size[0], size[1], float64(sent)/hosts/span, float64(bytes)/hosts/span, float64(pairs)/hosts, float64(busiest)/span)
			if got, want := float64(sent)/hosts/span, 40.0; got > want {
				t.Errorf("%d hosts: %.1f messages a host and second, want at most %.0f", size[0], got, want)
			}
			if got, want := float64(pairs)/hosts, 4.0; got > want {
				t.Errorf("%d hosts: %.1f connections a host, want at most %.0f", size[0], got, want)
			}
			if got, want := float64(busiest)/span, 250.0; got > want {
				t.Errorf("%d hosts: %.0f messages a second at one host, want at most %.0f", size[0], got, want)
			}
		})
	}
}

// A host crashes. All others count it as lost within the time that callers take to try another address, and lose no other host;
// when it is back, all know within seconds.
func TestCrashedHostIsLost(t *testing.T) {
	for _, size := range sizes(t)[1:] {
		for dead := range min(size[0], 9) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size[0], size[1])
				time.Sleep(5 * time.Second)
				f.setCut(true, dead)
				times := times(size)
				time.Sleep(times.Silent() + times.Patience() + 2*times.Old())
				f.wantAlive(fmt.Sprint(size, " without ", dead), size[0]-2, map[int]bool{dead: true})
				f.setCut(false, dead)
				time.Sleep(times.Silent() + 4*time.Second)
				f.wantAlive(fmt.Sprint(size, " with ", dead, " again"), size[0]-1, nil)
			})
		}
	}
}

// A relay crashes. Its hosts must get the others' state from another relay before they count these as lost, and the others must
// not lose them: lookups would name few hosts, and engines would have no owner to load adapters.
func TestHostsSurviveRelayLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, 4)
		time.Sleep(5 * time.Second)
		dead := f.relays()[0]
		f.setCut(true, dead)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for i := range 40 {
				if got, want := f.countAlive(i), 38; i != dead && got < want {
					t.Fatalf("host %d sees %d others, want %d at least", i, got, want)
				}
			}
		}
	})
}

// Both relays of a data centre crash at once. Its hosts find other relays within seconds, and the rest of the site sees them.
func TestHostsSurviveLossOfAllRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, 4)
		time.Sleep(5 * time.Second)
		relays := f.relays()
		if got, want := len(relays), 4*rhythm.Relays; got != want {
			t.Fatalf("relays = %d, want %d", got, want)
		}
		gone := map[int]bool{}
		for _, i := range relays[:rhythm.Relays] {
			gone[i] = true
			f.setCut(true, i)
		}
		time.Sleep(3 * time.Second)
		f.wantAlive("without two relays", 40-len(gone)-1, gone)
	})
}

// A long network partition splits a site in halves, each with relays. Each counts the other as lost; both must find each other
// when it heals.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, 4)
		time.Sleep(5 * time.Second)
		f.setPartitioned(true)
		time.Sleep(10 * time.Second)
		f.wantAlive("apart", 19, nil)
		f.setPartitioned(false)
		time.Sleep(5 * time.Second)
		f.wantAlive("together again", 39, nil)
	})
}

// relays returns the hosts that answer the most requests, grouped by data centre.
func (f *fleet) relays() []int {
	f.count()
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []int
	for centre := range f.centres {
		var here []int
		for i := centre; i < f.size; i += f.centres {
			here = append(here, i)
		}
		slices.SortFunc(here, func(a, b int) int { return f.answer[ip(b)] - f.answer[ip(a)] })
		list = append(list, here[:rhythm.Relays]...)
	}
	return list
}

// More than half of all hosts lose power at once, relays among them, and restart without state. The others find each other, and
// then all do.
func TestMassLossAndReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 60, 5)
		time.Sleep(5 * time.Second)
		gone := map[int]bool{}
		for i := range 60 {
			if i%9 < 5 {
				gone[i] = true
				f.hosts[ip(i)].cancel()
				f.setCut(true, i)
			}
		}
		time.Sleep(4 * time.Second)
		f.wantAlive("after the loss", 60-len(gone)-1, gone)
		for i := range gone {
			f.setCut(false, i)
			f.start(i)
		}
		time.Sleep(4 * time.Second)
		f.wantAlive("after the return", 59, nil)
	})
}

// All hosts lose power and restart at once, so that none knows who is alive.
func TestAllHostsStartAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 60, 5)
		time.Sleep(5 * time.Second)
		for i := range 60 {
			f.hosts[ip(i)].cancel()
		}
		time.Sleep(time.Second)
		for i := range 60 {
			f.start(i)
		}
		time.Sleep(3 * time.Second)
		f.wantAlive("after the return", 59, nil)
	})
}

// Stocks and usages must reach the hosts that need them within the age that the timeouts are derived from, also between hosts that
// are no relays.
func TestUpdatesReachOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, 4)
		time.Sleep(5 * time.Second)
		times := times([2]int{40, 4})
		for i, h := range f.hosts {
			engine := i + "/e"
			h.Roster.UpdateStock(stock.Stock{ID: engine, Incarnation: 1, Sequence: 1, Adapters: map[string]int{"a": 1}})
		}
		time.Sleep(times.Old() + times.Every())
		for i, h := range f.hosts {
			h.mu.Lock()
			delete(h.stocks, i+"/e")
			if got, want := len(h.stocks), 39; got != want {
				t.Errorf("%s knows what %d engines hold, want %d", i, got, want)
			}
			h.mu.Unlock()
		}
		user, owner := f.hosts[ip(11)], f.hosts[ip(30)]
		user.mu.Lock()
		user.usages = []usage.Usage{{Host: ip(11), Engine: ip(30) + "/e", Running: 3, Adapters: []string{"a"}}}
		user.mu.Unlock()
		time.Sleep(times.Old() + times.Every())
		owner.mu.Lock()
		defer owner.mu.Unlock()
		if len(owner.receivedUsages) != 1 || owner.receivedUsages[0].Running != 3 {
			t.Errorf("usages received = %v, want 3 requests", owner.receivedUsages)
		}
	})
}

// A busy host delays an answer after composing it. The read marks in it are older by that delay; a host that took them for fresh
// would rely on them for too long.
func TestReadMarksAgeIncludesTransitTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const markAge, delay = 100 * time.Millisecond, 300 * time.Millisecond
		var ages []time.Duration
		m := mates.NewMates(mate.Mate{IP: "10.0.0.1", Centre: "a"})
		m.Roster = roster.NewRoster("10.0.0.1", func(string) string { return "" })
		m.Hosts = func() map[string]mate.Mate { return map[string]mate.Mate{"10.0.0.2": {IP: "10.0.0.2", Centre: "a"}} }
		m.OwnStatus = func() (status.Status, []usage.Usage, []string) { return status.Status{}, nil, nil }
		m.Attach = func(string, *gossip.Gossip) {}
		m.Send = func(context.Context, mate.Mate, gossip.Gossip) (gossip.Gossip, error) {
			time.Sleep(delay)
			return gossip.Gossip{IP: "10.0.0.2", Incarnation: "s", ReadMarks: &marks.Marks{Age: markAge.Milliseconds()}}, nil
		}
		m.Observe = func(g gossip.Gossip) { ages = append(ages, time.Duration(g.ReadMarks.Age)*time.Millisecond) }
		m.Log = zap.NewNop()
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(3 * time.Second)
		cancel()
		time.Sleep(time.Second) // for a message in progress
		synctest.Wait()
		for _, age := range ages {
			if age < markAge+delay {
				t.Fatalf("age = %v, want %v at least", age, markAge+delay)
			}
		}
		if len(ages) == 0 {
			t.Error("no answer was observed, want some")
		}
	})
}
