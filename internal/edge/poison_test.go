//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"damaskreach/pkg/refuse"
)

const (
	poisonHosts, poisonEngines, poisonAdapters = 6, 8, 12
	// poisonedPart is the part of a prompt that crashes each engine that begins to write on it. Its prompts and most others begin with
	// openingPart, one in rareShare with rareOpening, which ran well at a given host seconds ago.
	poisonedPart, openingPart, rareOpening = "poisoned", "opening", "rare"
	rareShare                              = 6
	// soundRate and poisonRate are the requests a second without and with that part.
	soundRate, poisonRate = 20, 1.5
	// soundParts is how many other parts follow the opening, each in a few requests.
	soundParts = 40
	// crashedFor is how long an engine that has crashed is away, lapseTime how long its registration stays.
	crashedFor, lapseTime = 2 * time.Second, 3 * registrationInterval
	// From detectTime after the crash of minCrashed engines on, no more than maxPoisoned requests with the part may reach engines. From twice
	// that time on, sound requests must begin at the first try at least minSoundShare times as often as before.
	detectTime    = 3 * time.Second
	minCrashed    = 5
	maxPoisoned   = 3
	minSoundShare = 0.5
)

func isPoisoned(r *http.Request) bool {
	return slices.Contains(strings.Fields(r.Header.Get(headParts)), poisonedPart)
}

// crashUnder begins to answer a request that crashes its engine.
func (f *farm) crashUnder(w http.ResponseWriter, r *http.Request, wait time.Duration) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // the caller may have left
	select {
	case <-r.Context().Done():
	case <-time.After(wait):
		f.crash(r.Header.Get(headFor))
	}
}

// crash ends an engine with all its requests. It comes back empty, with a new id at its address.
func (f *farm) crash(id string) {
	f.mu.Lock()
	m := f.engines[id]
	if m.crashed {
		f.mu.Unlock()
		return
	}
	m.crashed = true
	f.crashes = append(f.crashes, time.Now())
	count := len(f.crashes)
	f.mu.Unlock()
	f.fleet.mu.Lock()
	f.leftAt[id] = time.Now()
	f.fleet.mu.Unlock()
	f.net.Kill(strings.TrimSuffix(m.target.Addr, ":80"))
	time.AfterFunc(crashedFor, func() {
		f.serveAt(f.t, m.target.Addr, f.serve)
		f.addEngineAt(fmt.Sprint("again", count), m.target.Addr, false)
	})
	time.AfterFunc(lapseTime, func() { f.store.drop("servers/" + id) })
}

// generateParts sends requests whose prompts have given parts at a rate until ctx ends. Callers come back once after a failure.
func (f *farm) generateParts(ctx context.Context, seed uint64, perSecond float64, parts func(rng *rand.Rand) string, result func(firstTry bool)) {
	rng := rand.New(rand.NewPCG(seed, 61))
	f.callAtRate(ctx, rng, perSecond, func(client *http.Client) {
		prompt := parts(rng)
		id, adapter, host := fmt.Sprintf("%x", rng.Uint64()), fmt.Sprint("m/a", rng.IntN(poisonAdapters)), rng.IntN(len(f.hosts))
		go func() {
			ok := f.sendParts(client, id, f.hosts[host], adapter, prompt)
			result(ok)
			if !ok {
				f.sendParts(client, id+"-again", f.hosts[(host+1)%len(f.hosts)], adapter, prompt)
			}
		}()
	})
}

// sendParts sends one request and reports whether its answer began.
func (f *farm) sendParts(client *http.Client, id, host, adapter, parts string) (begun bool) {
	r, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+host+":8000/"+id, nil)
	if err != nil {
		f.t.Errorf("request: %v", err)
		return false
	}
	r.Host = "a.example"
	r.Header = http.Header{headID: {id}, headKey: {"key of red"}, headUnits: {"1000"}, headAdapter: {adapter}, headParts: {parts}}
	answer, err := client.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	f.countBlamed(answer)
	n, _ := io.Copy(io.Discard, answer.Body) // a stream that breaks off has begun all the same
	return answer.StatusCode == http.StatusOK && n > 0
}

// countBlamed counts refusals for what a prompt holds.
func (f *farm) countBlamed(answer *http.Response) {
	if answer.StatusCode != http.StatusServiceUnavailable {
		return
	}
	text, err := io.ReadAll(answer.Body)
	if err == nil && strings.Contains(string(text), refuse.Suspect) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.blamed++
	}
}

// share counts at how many requests an answer began at the first try.
type share struct{ asked, begun int }

func (s share) value() float64 { return float64(s.begun) / float64(max(1, s.asked)) }

// Spans of a test, in which sound requests are counted apart.
const (
	beforeCrashes = iota
	untilDetected
	afterwards
)

// poisonFarm is a farm with sound requests.
type poisonFarm struct {
	*farm
	span  int
	sound [afterwards + 1]share
}

func newPoisonFarm(ctx context.Context, t *testing.T, seed uint64) *poisonFarm {
	f := &poisonFarm{farm: newEmptyFarm()}
	f.separateAddrs = true
	f.start(t, poisonHosts, poisonEngines, unlimitedTeams, f.adaptHost)
	soundPrompt := func(rng *rand.Rand) string {
		opening := openingPart
		if rng.IntN(rareShare) == 0 {
			opening = rareOpening
		}
		return fmt.Sprint(opening, " part", rng.IntN(soundParts))
	}
	f.generateParts(ctx, 100+seed, soundRate, soundPrompt, func(firstTry bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.sound[f.span].asked++
		if firstTry {
			f.sound[f.span].begun++
		}
	})
	time.Sleep(5 * time.Second)
	return f
}

// poison sends requests with the poisoned part for a while.
func (f *poisonFarm) poison(ctx context.Context, seed uint64) {
	f.enter(untilDetected)
	f.generateParts(ctx, seed, poisonRate, func(*rand.Rand) string { return openingPart + " " + poisonedPart }, func(bool) {})
}

func (f *poisonFarm) enter(span int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.span = span
}

// nthCrash returns when a number of engines had crashed; ok is false if they have not.
func (f *farm) nthCrash(n int) (at time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < n {
		return time.Time{}, false
	}
	return f.crashes[n-1], true
}

// awaitDetection waits until the part must have been detected: after minCrashed crashes, or the last if there are fewer.
func (f *poisonFarm) awaitDetection() {
	time.Sleep(2 * time.Second)
	for range 100 {
		if at, ok := f.nthCrash(minCrashed); ok {
			time.Sleep(time.Until(at.Add(2 * detectTime)))
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.enter(afterwards)
}

// wantFewPoisoned checks how many requests with the part reached engines after it must have been detected.
func (f *poisonFarm) wantFewPoisoned() {
	f.t.Helper()
	at, many := f.nthCrash(minCrashed)
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	for _, arrival := range f.poisoned {
		if many && arrival.After(at.Add(detectTime)) {
			late++
		}
	}
	f.t.Logf("%d engines crashed; %d requests with the part reached engines, %d of them late; sound %+v", len(f.crashes), len(f.poisoned), late, f.sound)
	if late > maxPoisoned {
		f.t.Errorf("%d requests with the part reached engines later than %v after %d had crashed, want %d at most", late, detectTime, minCrashed, maxPoisoned)
	}
}

// wantSoundServed checks how sound requests were served after the part must have been detected.
func (f *poisonFarm) wantSoundServed() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if got, want := f.sound[afterwards].value(), minSoundShare*f.sound[beforeCrashes].value(); got < want {
		f.t.Errorf("%.2f of the sound requests began at the first try, want %.2f", got, want)
	}
}

// Requests of which no two are alike share a part of their prompts that crashes each engine. Unless the part is found, one engine after the
// other crashes with all requests on it.
func TestPromptPartThatCrashesEnginesIsFound(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		f := newPoisonFarm(ctx, t, seed)
		f.poison(ctx, seed)
		f.awaitDetection()
		time.Sleep(10 * time.Second)
		cancel()
		time.Sleep(14 * time.Second)
		f.wantFewPoisoned()
		f.wantSoundServed()
	})
}

// All hosts are killed after a part was found, and requests with it go on. The hosts must not let it crash engines all over again.
func TestPromptPartThatCrashesEnginesStaysKnown(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		f := newPoisonFarm(ctx, t, seed)
		f.poison(ctx, seed)
		f.awaitDetection()
		f.restartHosts(0, 1, 2, 3, 4, 5)
		time.Sleep(10 * time.Second)
		cancel()
		time.Sleep(14 * time.Second)
		f.wantFewPoisoned()
	})
}

// Half of the engines crash at once, again and again, whatever they run. No part of a prompt may be held responsible: its requests would be
// refused although nothing is wrong with them.
func TestCrashesOfManyEnginesBlameNoPart(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		f := newPoisonFarm(ctx, t, seed)
		for range 3 {
			for _, id := range f.live()[:poisonEngines/2] {
				f.crash(id)
			}
			time.Sleep(8 * time.Second)
		}
		cancel()
		time.Sleep(14 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		t.Logf("%d engines crashed, sound requests %+v", len(f.crashes), f.sound)
		if f.blamed > 0 {
			t.Errorf("%d requests refused for a part of their prompt, want none", f.blamed)
		}
	})
}

// live returns the engines that have not crashed, sorted.
func (f *farm) live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, m := range f.engines {
		if !m.crashed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
