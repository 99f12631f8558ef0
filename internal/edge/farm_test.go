//go:build !race

package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"damaskreach/internal/change"
	"damaskreach/internal/demand"
	"damaskreach/internal/doubt"
	"damaskreach/internal/edge"
	"damaskreach/internal/effect"
	"damaskreach/internal/kinds"
	"damaskreach/internal/model"
	"damaskreach/internal/pool"
	"damaskreach/internal/route"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/setup"
	"damaskreach/internal/state"
	"damaskreach/internal/target"
	"damaskreach/internal/team"
)

const (
	farmAddr    = "10.9.9.7:80"
	headAdapter = "Fake-Adapter"
	headLast    = "Fake-Last"    // last event that the caller has, as an engine is told
	headSeen    = "Fake-Seen"    // the same, as the caller tells it
	headParts   = "Fake-Parts"   // parts of the prompt that other requests may share
	headResumes = "Fake-Resumes" // attempt that brought the stream's first event
	// farmSlots is how many requests an engine runs at once, farmPlaces how many adapters it holds.
	farmSlots, farmPlaces = 6, 6
	// promptTime is how long an engine reads a prompt, eventTime how long it takes for each of the farmEvents events of an answer.
	promptTime, eventTime = 40 * time.Millisecond, 30 * time.Millisecond
	farmEvents            = 20
	// baseLoadTime and adapterLoadTime are the load times of the base model and of an adapter, with up to parallelLoads over all engines.
	baseLoadTime, adapterLoadTime = 600 * time.Millisecond, 288 * time.Millisecond
	parallelLoads                 = 12
	// farmLatencyTarget is the time within which the first event is in time.
	farmLatencyTarget = 500 * time.Millisecond
)

// farm is a fleet whose upstreams are engines: they load adapters from one weight store and answer with streams.
type farm struct {
	*teamFleet
	separateAddrs bool          // each engine has its own address
	eventPause    time.Duration // between two events beside eventTime
	build         string        // of the software of engines that are added from now on

	mu         sync.Mutex
	engines    map[string]*fakeEngine
	loading    []time.Time // when the loads under way from the weight store end
	streams    []streamResult
	arrivals   []arrival
	loadOrders []arrival   // orders to load an adapter
	poisoned   []time.Time // arrivals of requests with the part that crashes engines
	crashes    []time.Time
	blamed     int // refusals of requests that seem to crash engines
}

// fakeEngine is one engine of a farm.
type fakeEngine struct {
	target        target.Target
	readyAt       map[string]time.Time // when each adapter is loaded, and the base model under ""
	using         map[string]int
	unloading     map[string]bool // unloads that wait for requests to end
	promptsReadAt time.Time       // when all prompts received are read
	running       int
	crashed       bool
}

// arrival is a request, or an order to load, as an engine received it.
type arrival struct {
	id, adapter, engine, host string
	at                        time.Time
	concurrent                int // requests already running at the engine, or loads already under way
	ran                       bool
}

// newFarm starts hosts and engines that hold the base model.
func newFarm(t *testing.T, hosts, engines int, teams func(version int64) []team.Team) *farm {
	f := newEmptyFarm()
	f.start(t, hosts, engines, teams, f.adaptHost)
	return f
}

func newEmptyFarm() *farm { return &farm{engines: map[string]*fakeEngine{}} }

func (f *farm) start(t *testing.T, hosts, engines int, teams func(version int64) []team.Team, adapt func(e *edge.Edge, s *setup.Setup)) {
	f.teamFleet = newTeamFleetOf(t, hosts, 3, 0, teams, adapt)
	if !f.separateAddrs {
		f.serveAt(t, farmAddr, f.serve)
	}
	for i := range engines {
		if f.separateAddrs {
			f.serveAt(t, separateAddr(i), f.serve)
		}
		f.addEngine(fmt.Sprint("e", i), true)
	}
	time.Sleep(14 * time.Second)
}

// separateAddr is the address of the nth upstream of a fleet whose upstreams have separate addresses.
func separateAddr(n int) string { return fmt.Sprintf("10.9.8.%d:80", n+1) }

// addEngine starts an engine, with the base model or empty.
func (f *farm) addEngine(id string, base bool) {
	f.mu.Lock()
	addr := farmAddr
	if f.separateAddrs {
		addr = separateAddr(len(f.engines))
	}
	f.mu.Unlock()
	f.addEngineAt(id, addr, base)
}

// addEngineAt starts an engine at an address.
func (f *farm) addEngineAt(id, addr string, base bool) {
	m := &fakeEngine{readyAt: map[string]time.Time{}, using: map[string]int{}, unloading: map[string]bool{}}
	if base {
		m.readyAt[""] = time.Now()
	}
	f.mu.Lock()
	m.target = target.Target{
		ID: id, Incarnation: time.Now().UnixMilli(), Group: "g", Addr: addr, Centre: fmt.Sprint("dc-", len(f.engines)%3), Slots: farmSlots,
		Build: f.build,
	}
	f.engines[id] = m
	f.mu.Unlock()
	go func() {
		for ; f.ctx.Err() == nil && !f.hasLeft(id); time.Sleep(registrationInterval) {
			f.publish(id)
		}
	}()
}

// publish writes an engine's registration.
func (f *farm) publish(id string) {
	f.mu.Lock()
	now, m := time.Now(), f.engines[id]
	one := m.target
	one.Adapters = m.heldAdapters(now)
	if one.Models = nil; m.has("", now) {
		one.Models = []string{"m"}
	}
	f.mu.Unlock()
	if data, err := json.Marshal(one); err != nil {
		f.t.Errorf("registration: %v", err)
	} else {
		f.store.put("servers/"+id, string(data))
	}
}

// startLeaving has an engine begin to leave.
func (f *farm) startLeaving(id string) {
	f.mu.Lock()
	f.engines[id].target.Draining = true
	f.mu.Unlock()
	f.fleet.mu.Lock()
	f.leftAt[id] = time.Now()
	f.fleet.mu.Unlock()
	f.publish(id)
	time.AfterFunc(2*drainTime, func() { f.store.drop("servers/" + id) })
}

func (m *fakeEngine) has(adapter string, now time.Time) bool {
	at, ok := m.readyAt[adapter]
	return ok && !now.Before(at)
}

// heldAdapters returns the adapters that are loaded.
func (m *fakeEngine) heldAdapters(now time.Time) map[string]int {
	held := map[string]int{}
	for a := range m.readyAt {
		if a != "" && m.has(a, now) {
			held[a] = 1
		}
	}
	return held
}

// applyOrder carries out an order as the users' engines do.
func (f *farm) applyOrder(_ context.Context, c change.Change) (effect.Effect, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, m, name := time.Now(), f.engines[c.Target.ID], ""
	if c.Adapter != "" {
		name = c.Model + "/" + c.Adapter
	}
	_, known := m.readyAt[name]
	switch {
	case c.Sequence != m.target.Sequence:
		return effect.Conflict, nil
	case c.Load && m.has(name, now):
		return effect.Done, nil
	case c.Load && known:
		return effect.Accepted, nil
	case c.Load && name == "":
		m.readyAt[name] = now.Add(baseLoadTime)
		time.AfterFunc(baseLoadTime, func() { f.publish(c.Target.ID) })
	case c.Load:
		f.loading = slices.DeleteFunc(f.loading, func(at time.Time) bool { return !now.Before(at) })
		m.readyAt[name] = now.Add(adapterLoadTime * time.Duration(max(parallelLoads, len(f.loading)+1)) / parallelLoads)
		f.loading = append(f.loading, m.readyAt[name])
		f.loadOrders = append(f.loadOrders, arrival{adapter: name, engine: c.Target.ID, at: now, concurrent: len(f.loading) - 1})
	case m.using[name] > 0:
		m.unloading[name] = true
	default:
		delete(m.readyAt, name)
		m.target.Sequence++
		return effect.Done, nil
	}
	m.target.Sequence++
	return effect.Accepted, nil
}

// engineState returns what an engine holds.
func (f *farm) engineState(_ context.Context, c change.Change) (state.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, m := time.Now(), f.engines[c.Target.ID]
	s := state.State{Incarnation: m.target.Incarnation, Sequence: m.target.Sequence, Adapters: m.heldAdapters(now), Pending: map[string]int{}}
	for a := range m.readyAt {
		switch {
		case a == "" && m.has(a, now):
			s.Models = []string{"m"}
		case a == "":
			s.Busy = true
		case !m.has(a, now):
			s.Pending[a] = 1
		}
	}
	return s, nil
}

// adaptHost makes a host use the engines of the farm as upstreams.
func (f *farm) adaptHost(e *edge.Edge, s *setup.Setup) {
	decode, conf, ip := e.DecodeRequest, e.DecodeRules, s.IP
	e.DecodeRequest = func(r *http.Request) (demand.Demand, error) {
		d, err := decode(r)
		d.Model, d.Adapter, d.Wait = "m", r.Header.Get(headAdapter), 12*time.Second
		d.Parts = strings.Fields(r.Header.Get(headParts))
		d.LastSeen, d.Resumes = r.Header.Get(headSeen), r.Header.Get(headResumes)
		return d, err
	}
	e.DecodeRules = func(row rows.Row) (rules.Rules, bool, error) {
		r, ok, err := conf(row)
		r.Pools = map[string]pool.Pool{"g": {
			Name: "g", MaxConns: 5000, Engine: true, Slots: farmSlots, MaxAdapters: farmPlaces, MemoryMB: 1000,
			Models: []model.Model{{Name: "m", Size: 900, Load: baseLoadTime, Adapter: 1}},
		}}
		r.Routes = map[string][]route.Route{"a.example": {{
			Name: "r", Host: "a.example", Prefix: "/", Kind: kinds.Stream, Groups: []string{"g"}, Weights: []int{1}, Target: farmLatencyTarget,
			Gap: 300 * time.Millisecond, Timeout: 12 * time.Second, Attempts: 2, Resumable: true,
		}}}
		return r, ok, err
	}
	e.DecodeTarget = func(row rows.Row) (t target.Target, err error) {
		err = json.Unmarshal(row.Value, &t)
		return t, err
	}
	e.UpstreamHeaders = func(id string, _ time.Duration, _ int, last string) http.Header {
		return http.Header{headFor: {id}, headFrom: {ip}, headLast: {last}}
	}
	e.NotRun = func(_ http.Header, status int, _ http.Header) (bool, doubt.Doubt) {
		return status == http.StatusMisdirectedRequest, doubt.None
	}
	e.SendOrder, e.QueryState = f.applyOrder, f.engineState
}

// admit accepts a request at an engine and returns the time until its prompt is read, after those before it; ok is false if the engine
// lacks what it asks for.
func (f *farm) admit(r *http.Request) (wait time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, id, adapter := time.Now(), r.Header.Get(headFor), r.Header.Get(headAdapter)
	m := f.engines[id]
	ok = !m.crashed && m.has("", now) && m.has(adapter, now) && !m.unloading[adapter]
	if isPoisoned(r) {
		f.poisoned = append(f.poisoned, now)
	}
	f.arrivals = append(f.arrivals, arrival{r.Header.Get(headID), adapter, id, r.Header.Get(headFrom), now, m.running, ok})
	if !ok {
		return 0, false
	}
	m.using[adapter]++
	m.running++
	if m.promptsReadAt.Before(now) {
		m.promptsReadAt = now
	}
	m.promptsReadAt = m.promptsReadAt.Add(promptTime)
	return m.promptsReadAt.Sub(now), true
}

// buildOf returns the build of an engine's software.
func (f *farm) buildOf(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[id].target.Build
}

// release ends a request at an engine.
func (f *farm) release(id, adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.engines[id]
	m.running--
	m.using[adapter]--
	if m.unloading[adapter] && m.using[adapter] == 0 {
		delete(m.unloading, adapter)
		delete(m.readyAt, adapter)
	}
}

// serve is the handler of all engines.
func (f *farm) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headID, r.Header.Get(headID))
	wait, ok := f.admit(r)
	if !ok {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer f.release(r.Header.Get(headFor), r.Header.Get(headAdapter))
	last, _ := strconv.Atoi(r.Header.Get(headLast)) // 0 at the start of a stream
	build := f.buildOf(r.Header.Get(headFor))
	if isPoisoned(r) {
		f.crashUnder(w, r, wait)
		return
	}
	for n := last + 1; n <= farmEvents; n, wait = n+1, 0 {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wait + eventTime + f.eventPause):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, build)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
