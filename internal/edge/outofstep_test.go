//go:build !race

package edge_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// takenUp is how many streams are begun at engines of the new build and taken up at the host that is out of step.
	takenUp = 40
	// newAdapters is the first of the adapters that they name: engines without any have room for them.
	newAdapters = 100
	// beginAfter is when they begin after the new build has come, lostAfter when its engines are lost: each stream has some events by then.
	beginAfter, lostAfter = 6400 * time.Millisecond, 7300 * time.Millisecond
	// comeBackAfter is how long callers wait before they come back with a stream.
	comeBackAfter = 300 * time.Millisecond
)

// outOfStep are the ways in which a host does not learn what the others do, each with what ends it.
var outOfStep = map[string]func(f *farm, host string) (end func()){
	"cut off": func(f *farm, host string) func() {
		f.store.refuse(host, true)
		for _, other := range f.hosts {
			if other != host {
				f.net.Cut(host, other)
			}
		}
		return func() {
			f.store.refuse(host, false)
			for _, other := range f.hosts {
				if other != host {
					f.net.Heal(host, other)
				}
			}
		}
	},
	"not heard": func(f *farm, host string) func() {
		f.store.refuse(host, true)
		f.net.Freeze(host)
		return func() {
			f.store.refuse(host, false)
			f.net.Thaw(host)
		}
	},
}

// A host is cut off, or nothing reaches it, for some seconds, in which engines of a new build join. Streams that the other hosts began there break off, and their
// callers come back at this host, before or after it is in step again. It must not let them go on at the build that it knows, which it takes for the only one.
func TestStreamsStaySeparateAtAHostThatWasOutOfStep(t *testing.T) {
	for name, begin := range outOfStep {
		for _, span := range []time.Duration{7500 * time.Millisecond, 10 * time.Second} {
			t.Run(fmt.Sprint(name, " for ", span), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newBuildFarm(t, "v1")
					f.eventPause = 120 * time.Millisecond
					end := begin(f, f.hosts[0])
					time.AfterFunc(span, end)
					f.addBuild(t, "v2")
					time.AfterFunc(lostAfter, func() { f.loseNewEngines() })
					time.Sleep(beginAfter)
					all := f.takeUpAt(f.hosts[0])
					f.wantNoneJoined(all)
				})
			})
		}
	}
}

// takeUpAt has callers begin streams at the other hosts and come back at one host once they have broken off.
func (f *farm) takeUpAt(host string) *resumableStreams {
	var all resumableStreams
	var callers sync.WaitGroup
	client := f.newClient()
	for n := range takenUp {
		callers.Go(func() {
			var s resumableStream
			id, adapter := fmt.Sprint("s", n), fmt.Sprint("m/a", newAdapters+n)
			s.try(f, client, id+"-0", f.hosts[1+n%(len(f.hosts)-1)], adapter)
			time.Sleep(comeBackAfter)
			if s.events > 0 && s.builds[0] == "v2" {
				s.try(f, client, id+"-1", host, adapter)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			all.add(id, s)
		})
	}
	callers.Wait()
	return &all
}

// loseNewEngines ends the engines of the new build, with the streams that they write.
func (f *farm) loseNewEngines() {
	for i := range buildEngines {
		f.net.Kill(strings.TrimSuffix(separateAddr(buildEngines+i), ":80"))
		f.store.drop(fmt.Sprint("servers/v2-", i))
	}
}
