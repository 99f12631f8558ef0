//go:build !race

package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// A site has buildHosts hosts and buildEngines engines of each build, which are asked for buildAdapters adapters.
	buildHosts, buildEngines, buildAdapters = 6, 4, 8
	// manyHosts is how many a large site has.
	manyHosts = 70
	// buildRate is how many streams begin a second: a third of what the engines of one build can run.
	buildRate = 15
	// maxStreamTries is how often a caller sends a request, with resumeDelay before it comes back.
	maxStreamTries = 6
	resumeDelay    = 600 * time.Millisecond
	// minResumedShare is the part of the share of streams that begin that the share of those that go on must reach.
	minResumedShare = 0.5
)

// resumableStream is a stream as its caller put it together from the answers to all its tries.
type resumableStream struct {
	builds          []string // that wrote its events, in the order in which they first did
	first           string   // attempt that brought its first event
	last            string   // id of the last event
	events          int
	resumed, wentOn bool // the caller came back with it, and got further events then
}

// try sends a request for the stream, or for the rest of it, to a host and reads the answer.
func (s *resumableStream) try(f *farm, client *http.Client, attempt, host, adapter string) {
	r, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+host+":8000/x", nil)
	if err != nil {
		f.t.Errorf("request: %v", err)
		return
	}
	r.Host = "a.example"
	r.Header = http.Header{headID: {attempt}, headKey: {"key of red"}, headUnits: {"1000"}, headAdapter: {adapter}}
	s.resumed = s.events > 0
	if s.resumed {
		r.Header.Set(headSeen, s.last)
		r.Header.Set(headResumes, s.first)
	}
	answer, err := client.Do(r)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last = id
		}
		if build, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.addEvent(attempt, build)
		}
	}
}

func (s *resumableStream) addEvent(attempt, build string) {
	if s.events == 0 {
		s.first = attempt
	}
	s.events++
	s.wentOn = s.wentOn || s.resumed
	if len(s.builds) == 0 || s.builds[len(s.builds)-1] != build {
		s.builds = append(s.builds, build)
	}
}

// resumableStreams collects the streams that callers asked for.
type resumableStreams struct {
	asked, begun, resumed, wentOn int
	joined                        []string
}

// playStreams has callers ask for streams at a rate while faults come, and returns what became of them some time later.
func (f *farm) playStreams(t *testing.T, seed uint64, perSecond float64, drain time.Duration, faults func(all *resumableStreams)) *resumableStreams {
	var all resumableStreams
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f.generateResumable(ctx, seed, perSecond, &all)
	faults(&all)
	cancel()
	time.Sleep(drain)
	return &all
}

// generateResumable sends requests at a rate until ctx ends, whose callers come back at another host with a stream that broke off.
func (f *farm) generateResumable(ctx context.Context, seed uint64, perSecond float64, all *resumableStreams) {
	rng := rand.New(rand.NewPCG(seed, 59))
	f.callAtRate(ctx, rng, perSecond, func(client *http.Client) {
		id, adapter, first := fmt.Sprintf("%x", rng.Uint64()), fmt.Sprint("m/a", rng.IntN(buildAdapters)), rng.IntN(len(f.hosts))
		go func() {
			var s resumableStream
			for n := 0; n < maxStreamTries && s.events < farmEvents && f.ctx.Err() == nil; n++ {
				if n > 0 {
					time.Sleep(resumeDelay)
				}
				s.try(f, client, fmt.Sprint(id, "-", n), f.hosts[(first+2*n)%len(f.hosts)], adapter)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			all.add(id, s)
		}()
	})
}

func (a *resumableStreams) add(id string, s resumableStream) {
	a.asked++
	if s.events > 0 {
		a.begun++
	}
	if s.resumed {
		a.resumed++
	}
	if s.wentOn {
		a.wentOn++
	}
	if len(s.builds) > 1 {
		a.joined = append(a.joined, fmt.Sprint(id, " ", s.builds))
	}
}

// wantSeparate checks that no stream holds events of two builds, and that most of those that callers came back with went on.
func (f *farm) wantSeparate(all *resumableStreams) {
	f.wantNoneJoined(all)
	f.mu.Lock()
	defer f.mu.Unlock()
	if got, want := float64(all.wentOn)/float64(all.resumed), minResumedShare*float64(all.begun)/float64(all.asked); got < want {
		f.t.Errorf("%.2f of the resumed streams went on, want %.2f", got, want)
	}
}

// withSeeds runs a test in virtual time with three seeds.
func withSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, seed) })
		})
	}
}

// newBuildFarm starts a site whose engines run the given builds of their software, the same number of each.
func newBuildFarm(t *testing.T, builds ...string) *farm {
	return newBuildFarmOf(t, buildHosts, builds...)
}

// newBuildFarmOf starts such a site with a number of hosts.
func newBuildFarmOf(t *testing.T, hosts int, builds ...string) *farm {
	f := newEmptyFarm()
	f.separateAddrs = true
	f.start(t, hosts, 0, unlimitedTeams, f.adaptHost)
	for _, build := range builds {
		f.addBuild(t, build)
	}
	time.Sleep(14 * time.Second)
	return f
}

// addBuild adds engines of a build.
func (f *farm) addBuild(t *testing.T, build string) {
	f.mu.Lock()
	f.build = build
	f.mu.Unlock()
	for i := range buildEngines {
		f.serveAt(t, separateAddr(f.engineCount()), f.serve)
		f.addEngine(fmt.Sprint(build, "-", i), true)
	}
}

func (f *farm) engineCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.engines)
}

// breakStreams resets all connections to one engine.
func (f *farm) breakStreams(engine int) {
	for _, host := range f.hosts {
		f.net.Break(host, strings.TrimSuffix(separateAddr(engine), ":80"))
	}
}

// restartHosts kills hosts at the same time and starts them again.
func (f *farm) restartHosts(hosts ...int) {
	for _, i := range hosts {
		f.kill(f.hosts[i])
	}
	time.Sleep(500 * time.Millisecond)
	for _, i := range hosts {
		f.restart(i)
	}
}

// Engines of two builds serve side by side. Engines break off streams, and hosts are killed, two at a time: neither a host that goes on with
// a stream by itself nor one that its caller comes back to may let an engine of the other build go on.
func TestStreamsGoOnAtTheBuildThatBeganThem(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		f := newBuildFarm(t, "v1", "v2")
		all := f.playStreams(t, seed, buildRate, 14*time.Second, func(*resumableStreams) {
			for i := range 2 * buildEngines {
				time.Sleep(time.Second)
				f.breakStreams(i)
				f.restartHosts(i%buildHosts, (i+3)%buildHosts)
			}
		})
		f.wantSeparate(all)
	})
}

// All hosts lose what they have in memory while engines of two builds serve. A caller that comes back with a stream of before must neither be
// sent to the other build because nobody remembers which one began it, nor be refused for that.
func TestStreamsOfTwoBuildsGoOnWhenAllHostsAreKilled(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		f := newBuildFarm(t, "v1", "v2")
		all := f.playStreams(t, seed, buildRate, 14*time.Second, func(*resumableStreams) {
			time.Sleep(3 * time.Second)
			f.restartHosts(0, 1, 2, 3, 4, 5)
			time.Sleep(6 * time.Second)
		})
		f.wantSeparate(all)
	})
}

// The same, with streams of some seconds and two losses of all hosts.
func TestLongStreamsOfTwoBuildsGoOnWhenAllHostsAreKilled(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		f := newBuildFarm(t, "v1", "v2")
		f.eventPause = 120 * time.Millisecond
		all := f.playStreams(t, seed, buildRate/2, 20*time.Second, func(*resumableStreams) {
			for range 2 {
				time.Sleep(5 * time.Second)
				f.restartHosts(0, 1, 2, 3, 4, 5)
			}
			time.Sleep(6 * time.Second)
		})
		f.wantSeparate(all)
	})
}

// The same on a large site, at three moments. All its hosts may write down together only so often where streams began, and most streams under way are of the last second: if
// each host waited for its own turn, callers would come back with streams that nobody knows.
func TestStreamsOfTwoBuildsGoOnWhenAllOfManyHostsAreKilled(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		f := newBuildFarmOf(t, manyHosts, "v1", "v2")
		f.eventPause = 60 * time.Millisecond
		all := f.playStreams(t, seed, buildRate, 14*time.Second, func(*resumableStreams) {
			time.Sleep(4*time.Second + time.Duration(seed)*300*time.Millisecond)
			hosts := make([]int, len(f.hosts))
			for i := range hosts {
				hosts[i] = i
			}
			f.restartHosts(hosts...)
			time.Sleep(6 * time.Second)
		})
		f.wantSeparate(all)
	})
}

// All hosts of a large site lose each other, so that each takes itself for one of those that write for all. If all wrote as often as these, the store would have many times the
// writes that it should.
func TestHostsThatLoseEachOtherDoNotWriteMoreStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBuildFarmOf(t, manyHosts, "v1", "v2")
		for i, host := range f.hosts {
			for _, other := range f.hosts[:i] {
				f.net.Cut(host, other)
			}
		}
		f.playStreams(t, 1, 6*buildRate, 14*time.Second, func(*resumableStreams) {
			time.Sleep(4 * time.Second) // until none counts as alive for the others
			before, span := f.store.changes("began/"), 6*time.Second
			time.Sleep(span)
			if got, want := f.store.changes("began/")-before, int(55*span/time.Second); got > want {
				t.Errorf("%d writes in %v, want %d at most", got, span, want)
			}
		})
	})
}

// A build has just replaced the one before when all hosts are killed. A stream of the old build must not go on at the new one, although it is
// the only one that is registered; streams of a build that serves alone for long must go on whoever is asked.
func TestStreamsOfAReplacedBuildDoNotGoOnAtTheNextOne(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		f := newBuildFarm(t, "v1")
		all := f.playStreams(t, seed, buildRate, 14*time.Second, func(all *resumableStreams) {
			time.Sleep(3 * time.Second)
			f.restartHosts(0, 1, 2, 3, 4, 5)
			time.Sleep(5 * time.Second)
			f.wantSeparate(all)
			f.replaceBuild(t, "v1", "v2", 3*time.Second)
			f.restartHosts(0, 1, 2, 3, 4, 5)
			time.Sleep(6 * time.Second)
		})
		f.wantNoneJoined(all)
	})
}

// A build replaces the one before within two seconds, in which the store carries out no writes or comes back from an older copy, and then all hosts are
// killed. Those that start see one build only, and nothing says that there was another: a stream of the old one must not go on at it.
func TestStreamsStaySeparateWhenAChangeOfBuildsIsNotWrittenDown(t *testing.T) {
	for name, lose := range map[string]func(s *store) (found func()){
		"no writes": func(s *store) func() {
			s.setReadOnly(true)
			return func() { s.setReadOnly(false) }
		},
		"older copy": func(s *store) func() {
			before := s.backup()
			return func() {
				now := s.backup()
				for key, row := range now.rows {
					if strings.HasPrefix(key, "servers/") {
						before.rows[key] = row
					}
				}
				for key := range before.rows {
					if _, ok := now.rows[key]; !ok && strings.HasPrefix(key, "servers/") {
						delete(before.rows, key)
					}
				}
				s.restore(before)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withSeeds(t, func(t *testing.T, seed uint64) {
				f := newBuildFarm(t, "v1")
				all := f.playStreams(t, seed, buildRate, 14*time.Second, func(*resumableStreams) {
					time.Sleep(5 * time.Second)
					found := lose(f.store)
					time.Sleep(500 * time.Millisecond)
					f.replaceBuild(t, "v1", "v2", time.Second)
					time.Sleep(300 * time.Millisecond)
					for i := range f.hosts {
						f.kill(f.hosts[i])
					}
					time.Sleep(500 * time.Millisecond)
					found()
					for i := range f.hosts {
						f.restart(i)
					}
					time.Sleep(6 * time.Second)
				})
				f.wantNoneJoined(all)
			})
		})
	}
}

// replaceBuild starts engines of a build, and some time later those of another one are gone.
func (f *farm) replaceBuild(t *testing.T, old, next string, after time.Duration) {
	f.addBuild(t, next)
	time.Sleep(after)
	for i := range buildEngines {
		f.startLeaving(fmt.Sprint(old, "-", i))
	}
	time.Sleep(300 * time.Millisecond)
	for i := range buildEngines {
		f.store.drop(fmt.Sprint("servers/", old, "-", i))
	}
}

// wantNoneJoined checks that no stream holds events of two builds.
func (f *farm) wantNoneJoined(all *resumableStreams) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("%d streams, %d begun, %d resumed by callers, %d of these went on", all.asked, all.begun, all.resumed, all.wentOn)
	if len(all.joined) > 0 {
		f.t.Errorf("%d streams hold events of two builds, want none: %q", len(all.joined), all.joined[:min(3, len(all.joined))])
	}
	if all.resumed == 0 {
		f.t.Error("no caller came back with a stream, want some")
	}
}
