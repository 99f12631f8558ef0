//go:build !race

package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"damaskreach/internal/change"
	"damaskreach/internal/demand"
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
	headLast    = "Fake-Last" // event that the caller has
	// farmSlots, farmPlaces are the requests that an engine runs at once, and the adapters that it has room for.
	farmSlots, farmPlaces = 6, 6
	// readTakes is how long an engine reads a prompt, eventTakes its time for each of the farmEvents of an answer.
	readTakes, eventTakes = 40 * time.Millisecond, 30 * time.Millisecond
	farmEvents            = 20
	// baseTakes and loadTakes are how long loads of the base model and of an adapter take; farmLoads are as fast at once over all engines.
	baseTakes, loadTakes = 600 * time.Millisecond, 288 * time.Millisecond
	farmLoads            = 12
	// farmGoal is within which the first event is in time.
	farmGoal = 500 * time.Millisecond
)

// farm is a fleet whose upstreams are engines: they load adapters from one weight store and answer by streams.
type farm struct {
	*payers
	apart bool // each engine has an address of its own

	mu       sync.Mutex
	engines  map[string]*machine
	loading  []time.Time // when the loads on their way from the weight store are there
	streamed []streamed
	came     []came
	loads    []came // orders to load an adapter
}

// machine is one engine of a farm.
type machine struct {
	target  target.Target
	there   map[string]time.Time // from when on it holds each adapter, and the base model under ""
	using   map[string]int
	doomed  map[string]bool // unloads that wait for requests
	read    time.Time       // when it has read all prompts that it got
	running int
}

// came is a request, or an order, as an engine got it.
type came struct {
	id, adapter, engine, host string
	at                        time.Time
	beside                    int // requests that the engine ran already, or loads on their way from the store
	ran                       bool
}

// newFarm starts hosts and engines that hold the base model.
func newFarm(t *testing.T, hosts, engines int, teams func(version int64) []team.Team) *farm {
	f := &farm{engines: map[string]*machine{}}
	f.start(t, hosts, engines, teams, f.adaptHost)
	return f
}

func (f *farm) start(t *testing.T, hosts, engines int, teams func(version int64) []team.Team, adapt func(e *edge.Edge, s *setup.Setup)) {
	f.payers = newPayersOf(t, hosts, 3, 0, teams, adapt)
	if !f.apart {
		f.serveAt(t, farmAddr, f.serve)
	}
	for i := range engines {
		if f.apart {
			f.serveAt(t, apartAddr(i), f.serve)
		}
		f.addEngine(fmt.Sprint("e", i), true)
	}
	time.Sleep(14 * time.Second)
}

// apartAddr is the address of the nth upstream of a fleet whose upstreams have addresses of their own.
func apartAddr(n int) string { return fmt.Sprintf("10.9.8.%d:80", n+1) }

// addEngine starts an engine, with the base model or empty.
func (f *farm) addEngine(id string, base bool) {
	m := &machine{there: map[string]time.Time{}, using: map[string]int{}, doomed: map[string]bool{}}
	if base {
		m.there[""] = time.Now()
	}
	f.mu.Lock()
	addr := farmAddr
	if f.apart {
		addr = apartAddr(len(f.engines))
	}
	m.target = target.Target{
		ID: id, Born: time.Now().UnixMilli(), Group: "g", Addr: addr, Centre: fmt.Sprint("dc-", len(f.engines)%3), Slots: farmSlots,
	}
	f.engines[id] = m
	f.mu.Unlock()
	go func() {
		for ; f.ctx.Err() == nil && !f.hasLeft(id); time.Sleep(beat) {
			f.tell(id)
		}
	}()
}

// tell has an engine write its registration.
func (f *farm) tell(id string) {
	f.mu.Lock()
	now, m := time.Now(), f.engines[id]
	one := m.target
	one.Adapters = m.holds(now)
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

// remove has an engine begin to leave.
func (f *farm) remove(id string) {
	f.mu.Lock()
	f.engines[id].target.Draining = true
	f.mu.Unlock()
	f.fleet.mu.Lock()
	f.left[id] = time.Now()
	f.fleet.mu.Unlock()
	f.tell(id)
	time.AfterFunc(2*drain, func() { f.store.drop("servers/" + id) })
}

func (m *machine) has(adapter string, now time.Time) bool {
	at, ok := m.there[adapter]
	return ok && !now.Before(at)
}

// holds returns the adapters that are there.
func (m *machine) holds(now time.Time) map[string]int {
	held := map[string]int{}
	for a := range m.there {
		if a != "" && m.has(a, now) {
			held[a] = 1
		}
	}
	return held
}

// give carries an order out as the users' engines do.
func (f *farm) give(_ context.Context, c change.Change) (effect.Effect, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, m, name := time.Now(), f.engines[c.Target.ID], ""
	if c.Adapter != "" {
		name = c.Model + "/" + c.Adapter
	}
	_, under := m.there[name]
	switch {
	case c.Sequence != m.target.Sequence:
		return effect.Conflict, nil
	case c.Load && m.has(name, now):
		return effect.Done, nil
	case c.Load && under:
		return effect.Accepted, nil
	case c.Load && name == "":
		m.there[name] = now.Add(baseTakes)
		time.AfterFunc(baseTakes, func() { f.tell(c.Target.ID) })
	case c.Load:
		f.loading = slices.DeleteFunc(f.loading, func(at time.Time) bool { return !now.Before(at) })
		m.there[name] = now.Add(loadTakes * time.Duration(max(farmLoads, len(f.loading)+1)) / farmLoads)
		f.loading = append(f.loading, m.there[name])
		f.loads = append(f.loads, came{adapter: name, engine: c.Target.ID, at: now, beside: len(f.loading) - 1})
	case m.using[name] > 0:
		m.doomed[name] = true
	default:
		delete(m.there, name)
		m.target.Sequence++
		return effect.Done, nil
	}
	m.target.Sequence++
	return effect.Accepted, nil
}

// report returns what an engine holds.
func (f *farm) report(_ context.Context, c change.Change) (state.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, m := time.Now(), f.engines[c.Target.ID]
	s := state.State{Born: m.target.Born, Sequence: m.target.Sequence, Adapters: m.holds(now), Pending: map[string]int{}}
	for a := range m.there {
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

// adaptHost has a host take the upstreams for engines of the farm.
func (f *farm) adaptHost(e *edge.Edge, s *setup.Setup) {
	decode, conf, ip := e.Decode, e.Rules, s.IP
	e.Decode = func(r *http.Request) (demand.Demand, error) {
		d, err := decode(r)
		d.Model, d.Adapter, d.Wait = "m", r.Header.Get(headAdapter), 12*time.Second
		return d, err
	}
	e.Rules = func(row rows.Row) (rules.Rules, bool, error) {
		r, ok, err := conf(row)
		r.Pools = map[string]pool.Pool{"g": {
			Name: "g", MaxConns: 5000, Engine: true, Slots: farmSlots, Places: farmPlaces, Memory: 1000,
			Models: []model.Model{{Name: "m", Size: 900, Load: baseTakes, Adapter: 1}},
		}}
		r.Routes = map[string][]route.Route{"a.example": {{
			Name: "r", Host: "a.example", Prefix: "/", Kind: kinds.Stream, Groups: []string{"g"}, Weights: []int{1}, Target: farmGoal,
			Gap: 300 * time.Millisecond, Timeout: 12 * time.Second, Attempts: 2, Resumable: true,
		}}}
		return r, ok, err
	}
	e.Target = func(row rows.Row) (t target.Target, err error) {
		err = json.Unmarshal(row.Value, &t)
		return t, err
	}
	e.Headers = func(id string, _ time.Duration, _ int, last string) http.Header {
		return http.Header{headFor: {id}, headFrom: {ip}, headLast: {last}}
	}
	e.NotRun = func(status int, _ http.Header) bool { return status == http.StatusMisdirectedRequest }
	e.Give, e.Ask = f.give, f.report
}

// begin takes a request in at an engine, and returns when its prompt is read; false means that the engine does not hold what it asks for.
func (f *farm) begin(r *http.Request) (wait time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, id, adapter := time.Now(), r.Header.Get(headFor), r.Header.Get(headAdapter)
	m := f.engines[id]
	ok = m.has("", now) && m.has(adapter, now) && !m.doomed[adapter]
	f.came = append(f.came, came{r.Header.Get(headID), adapter, id, r.Header.Get(headFrom), now, m.running, ok})
	if !ok {
		return 0, false
	}
	m.using[adapter]++
	m.running++
	if m.read.Before(now) {
		m.read = now
	}
	m.read = m.read.Add(readTakes)
	return m.read.Sub(now), true
}

// end takes a request out of an engine.
func (f *farm) end(id, adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.engines[id]
	m.running--
	m.using[adapter]--
	if m.doomed[adapter] && m.using[adapter] == 0 {
		delete(m.doomed, adapter)
		delete(m.there, adapter)
	}
}

// serve is the engines.
func (f *farm) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headID, r.Header.Get(headID))
	wait, ok := f.begin(r)
	if !ok {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer f.end(r.Header.Get(headFor), r.Header.Get(headAdapter))
	last, _ := strconv.Atoi(r.Header.Get(headLast)) // none where the stream begins
	for n := last + 1; n <= farmEvents; n, wait = n+1, 0 {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wait + eventTakes):
		}
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
