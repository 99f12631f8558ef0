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
	// confApplyBound is how long after its acknowledgement a version of the configuration may take to apply.
	confApplyBound = 2 * time.Second
	// backupAge is the age of the backup from which the store is restored.
	backupAge = 5 * time.Second
	// rewriteDelay is how long after the restore operators write again what was lost.
	rewriteDelay = 400 * time.Millisecond
	// startBound is how long a started host may take to apply the configuration of the others.
	startBound = 3 * time.Second
	// extraCallsPerHost is how many calls beside the usual ones a host may make after a restore: three for each kind of rows, to find out that
	// they are of another era, to read them and to go on from there, and three writes of its own.
	extraCallsPerHost = 12
)

// restoreSite is a fleet whose store is restored from a backup.
type restoreSite struct {
	*fleet
	rng             *rand.Rand
	ackedAt         map[int64]time.Time // when the store acknowledged each version of the configuration
	newest          int64               // newest version
	newestAtRestore int64               // newest version before the restore
	restoredAt      time.Time
}

// configure writes a version of the configuration.
func (d *restoreSite) configure() {
	d.newest++
	d.ackedAt[d.newest] = time.Now()
	d.store.put("op/config", strconv.FormatInt(d.newest, 10))
}

// newRestoreSite starts hosts and takes a backup of the store. It then writes what the restore will lose: versions of the configuration,
// and upstreams that begin to leave, vanish or are new. Then the store is down for a while and is restored, and lost rows are rewritten.
func newRestoreSite(t *testing.T, seed uint64, hosts int, away time.Duration) *restoreSite {
	d := &restoreSite{fleet: newFleet(t, hosts, 4, 112), rng: rand.New(rand.NewPCG(seed, 41)), ackedAt: map[int64]time.Time{}, newest: 1}
	time.Sleep(15 * time.Second)
	copied := d.store.backup()
	for n := range 5 {
		d.configure()
		d.leave(fmt.Sprint("u", n))
		d.vanish(fmt.Sprint("u", 10+n))
		go d.register(t.Context(), fmt.Sprint("new", n), 0)
		time.Sleep(backupAge / 5)
	}
	for _, host := range d.hosts {
		d.store.refuse(host, true)
	}
	time.Sleep(away)
	d.store.restore(copied)
	d.store.serveAll()
	d.store.count()
	d.restoredAt = time.Now()
	d.rewriteLost(t.Context())
	return d
}

// rewriteLost has operators and upstreams write again what they wrote since the backup.
func (d *restoreSite) rewriteLost(ctx context.Context) {
	d.newestAtRestore = d.newest
	time.Sleep(rewriteDelay)
	d.store.put("op/config", strconv.FormatInt(d.newest, 10))
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
		later(time.Duration(d.rng.Int64N(int64(registrationInterval))), func() { d.store.put(fmt.Sprint("servers/u", n), leaving) })
		later(registrationInterval+time.Duration(d.rng.Int64N(int64(registrationInterval))), func() {
			d.store.drop(fmt.Sprint("servers/u", 10+n))
		})
	}
}

// loggedSince returns the lines with a text that hosts logged after the restore.
func (d *restoreSite) loggedSince(text string) (list []logLine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.logged {
		if l.text == text && l.at.After(d.restoredAt) {
			list = append(list, l)
		}
	}
	return list
}

// wantConfApplied checks that each host applied each version written after the restore in time, and none after a later one.
func (d *restoreSite) wantConfApplied() {
	d.t.Helper()
	at := map[string]map[int64]time.Time{}
	newest := map[string]int64{}
	for _, host := range d.hosts {
		newest[host] = d.newestAtRestore
	}
	for _, l := range d.loggedSince("configuration applied") {
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
	for version, acked := range d.ackedAt {
		for _, host := range d.hosts {
			if acked.Before(d.restoredAt) {
				continue
			}
			took := time.Since(acked)
			if !at[host][version].IsZero() {
				took = at[host][version].Sub(acked)
			}
			worst = max(worst, took)
			if took > confApplyBound {
				late++
			}
		}
	}
	d.t.Logf("versions applied after %v at most", worst)
	if late > 0 {
		d.t.Errorf("%d times a host had not applied a version after %v, the latest after %v", late, confApplyBound, worst)
	}
}

// forEachRestoreSite runs test on sites of several sizes, whose store is down long enough for all hosts, or only the reader, to notice.
func forEachRestoreSite(t *testing.T, test func(d *restoreSite)) {
	t.Helper()
	for _, site := range []struct {
		hosts int
		away  time.Duration
	}{{7, 100 * time.Millisecond}, {24, 2 * time.Second}, {60, 100 * time.Millisecond}} {
		t.Run(fmt.Sprint(site.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(newRestoreSite(t, 1, site.hosts, site.away)) })
		})
	}
}

// A restored store assigns its revisions again. Each host must apply a configuration acknowledged after that in time, also those that let
// others read for them.
func TestConfigurationAppliesAfterRestore(t *testing.T) {
	forEachRestoreSite(t, func(d *restoreSite) {
		for range 8 {
			d.configure()
			time.Sleep(900 * time.Millisecond)
		}
		time.Sleep(confApplyBound)
		d.wantConfApplied()
	})
}

// Upstreams begin to leave after the restore. Each host must learn of it in time, whatever it knew of the era before.
func TestHostsLearnOfLeavingAfterRestore(t *testing.T) {
	forEachRestoreSite(t, func(d *restoreSite) {
		for n := range 20 {
			time.Sleep(200 * time.Millisecond)
			d.leave(fmt.Sprint("u", 20+n))
		}
		time.Sleep(drainTime)
		d.wantLeavesLearned(drainTime - routingReserve)
	})
}

// wantNoLog checks that after the restore hosts logged no line with a text that is wrong.
func (d *restoreSite) wantNoLog(text, why string, wrong func(l logLine) bool) {
	d.t.Helper()
	times, example := 0, logLine{}
	for _, l := range d.loggedSince(text) {
		if wrong(l) {
			times++
			example = l
		}
	}
	if times > 0 {
		d.t.Errorf("%d times %s: %s at %s, %v after the restore", times, why, example.target, example.host, example.at.Sub(d.restoredAt))
	}
}

// Upstreams have begun to leave, but the backup says that they are ready. Hosts that believed it would send them requests again.
func TestLeavingUpstreamStaysLeavingAfterRestore(t *testing.T) {
	forEachRestoreSite(t, func(d *restoreSite) {
		time.Sleep(5 * time.Second)
		d.wantNoLog("upstream leaves", "an upstream that leaves became ready again", func(l logLine) bool { return !l.leaves })
	})
}

// The backup holds registrations of upstreams that have gone. Hosts that took them for new would bring these upstreams back.
func TestVanishedUpstreamStaysGoneAfterRestore(t *testing.T) {
	forEachRestoreSite(t, func(d *restoreSite) {
		time.Sleep(5 * time.Second)
		d.wantNoLog("upstream found", "an upstream came back from the copy", func(l logLine) bool { return !d.leftAt[l.target].IsZero() })
	})
}

// Registrations of new upstreams are missing in the backup and are written again soon. Hosts that took these upstreams for gone meanwhile
// would end their requests, and all requests if all upstreams are new.
func TestNewUpstreamSurvivesRestore(t *testing.T) {
	forEachRestoreSite(t, func(d *restoreSite) {
		time.Sleep(5 * time.Second)
		d.wantNoLog("upstream gone", "an upstream was dropped that is new", func(l logLine) bool { return l.target[:3] == "new" })
	})
}

// Each host reads the rows of the new era. If hosts read repeatedly, or each for itself without need, they would overload the store.
func TestRestoredStoreIsNotOverloaded(t *testing.T) {
	forEachRestoreSite(t, func(d *restoreSite) {
		time.Sleep(8 * time.Second)
		after, _ := d.store.count()
		time.Sleep(20 * time.Second)
		d.store.count()
		time.Sleep(8 * time.Second)
		usual, _ := d.store.count()
		d.t.Logf("%d calls in 8 s after the restore, %d later", after, usual)
		if allowed := usual + extraCallsPerHost*len(d.hosts); after > allowed {
			d.t.Errorf("the store got %d calls in the 8 s after the restore, want %d at most", after, allowed)
		}
	})
}

// The restored store refuses some hosts, which learn of the new era only from others. Without the registrations of that era they would go
// on sending requests to leaving upstreams.
func TestHostsRefusedAfterRestoreLearnOfLeaving(t *testing.T) {
	forEachRestoreSite(t, func(d *restoreSite) {
		time.Sleep(5 * time.Second)
		d.refuseHosts(d.rng, 0.3)
		d.store.restore(d.store.backup())
		time.Sleep(time.Second)
		for n := range 10 {
			time.Sleep(300 * time.Millisecond)
			d.leave(fmt.Sprint("u", 20+n))
		}
		time.Sleep(drainTime)
		d.wantLeavesLearned(drainTime - routingReserve)
	})
}

// A host starts after the restore, before operators have written again what was lost. All others have applied the newer configuration; by
// the backup alone, this host would serve what operators removed.
func TestHostStartedAfterRestoreAppliesNewestConfiguration(t *testing.T) {
	for _, hosts := range []int{7, 24} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &restoreSite{fleet: newFleet(t, hosts, 4, 112), rng: rand.New(rand.NewPCG(1, 41)), ackedAt: map[int64]time.Time{}, newest: 1}
				time.Sleep(15 * time.Second)
				copied := d.store.backup()
				d.configure()
				time.Sleep(backupAge)
				d.store.restore(copied)
				d.restoredAt = time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				d.start(ctx, hosts)
				time.Sleep(startBound)
				newest := int64(0)
				for _, l := range d.loggedSince("configuration applied") {
					if l.host == hostIP(hosts) {
						newest = max(newest, l.version)
					}
				}
				if newest != d.newest {
					t.Errorf("version applied = %d, want %d as at all others", newest, d.newest)
				}
			})
		})
	}
}
