package serve

import (
	"context"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/stand/admin"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/plain"
	"damaskreach/internal/stand/recrd"
	"damaskreach/internal/stand/wstore"
)

// faults serves the faults of upstreams under their names.
type faults struct {
	mux   *http.ServeMux
	names map[string]bool
}

func (s *site) addUpstreams(o options) error {
	f := &faults{mux: http.NewServeMux(), names: map[string]bool{}}
	engines, err := o.engines()
	if err != nil {
		return err
	}
	store := s.addWeights(o.Weights)
	for _, e := range engines {
		if err := s.addEngine(e, store, f); err != nil {
			return err
		}
	}
	for _, p := range o.Plain {
		if err := s.addPlain(p, f); err != nil {
			return err
		}
	}
	s.addHandler("admin", o.Admin, f.mux)
	return nil
}

// addWeights returns the weight store of the engines, whose records and faults are served at addr:
//
//	GET  /records                its account of the loads
//	POST /admin/down?on=true     refuse loads and break those in progress
//	POST /admin/slow?factor=10   divide its speed
//	POST /admin/fail?count=3     fail the next loads
func (s *site) addWeights(addr string) *wstore.Store {
	store := wstore.NewStore()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { recrd.Serve(w, store.Records()) })
	admin.Handle(mux, "down", func(q *admin.Query) func() {
		on := q.Bool("on")
		return func() { store.Down(on) }
	})
	handleFactor(mux, "slow", store.Slow)
	handleCount(mux, "fail", store.FailLoads)
	s.addHandler("weights", addr, mux)
	return store
}

// addEngine adds an engine with these faults under its name:
//
//	POST /NAME/admin/crash           cut all connections and restart cold
//	POST /NAME/admin/fail?count=3    fail the next loads
//	POST /NAME/admin/slow?factor=2   make each step take longer
func (s *site) addEngine(e engineFlag, store *wstore.Store, f *faults) error {
	engine := engsim.NewEngine()
	engine.Fetch = store.Load
	engine.Fences = e.fences
	if e.slots > 0 {
		engine.Slots = e.slots
	}
	if e.batch > 0 {
		engine.Batch = e.batch
	}
	s.addUpstream(e.plainFlag, engine.Run)
	mux, err := f.add(e.name)
	if err != nil {
		return err
	}
	admin.Handle(mux, "crash", func(*admin.Query) func() { return engine.Crash })
	handleCount(mux, "fail", engine.FailLoads)
	handleFactor(mux, "slow", engine.Slow)
	return nil
}

// addPlain adds a plain service with these faults under its name:
//
//	POST /NAME/admin/crash            cut all connections and restart
//	POST /NAME/admin/before?count=1   crash on the next requests before they are executed
//	POST /NAME/admin/after?count=1    crash on the next requests after they were executed
//	POST /NAME/admin/cut?count=1      break the next answers off half way
func (s *site) addPlain(p plainFlag, f *faults) error {
	service := plain.NewService()
	s.addUpstream(p, service.Run)
	mux, err := f.add(p.name)
	if err != nil {
		return err
	}
	admin.Handle(mux, "crash", func(*admin.Query) func() { return service.Crash })
	handleCount(mux, "before", service.CrashBefore)
	handleCount(mux, "after", service.CrashAfter)
	handleCount(mux, "cut", service.CutAnswers)
	return nil
}

func handleCount(mux *http.ServeMux, name string, apply func(count int)) {
	admin.Handle(mux, name, func(q *admin.Query) func() {
		count := q.Int("count")
		return func() { apply(count) }
	})
}

func handleFactor(mux *http.ServeMux, name string, apply func(factor float64)) {
	admin.Handle(mux, name, func(q *admin.Query) func() {
		factor := q.Factor("factor")
		return func() { apply(factor) }
	})
}

// addUpstream adds a service that closes its listener in a crash and opens it again.
func (s *site) addUpstream(f plainFlag, run func(ctx context.Context, listen func() (net.Listener, error)) error) {
	serve := func(ctx context.Context, first net.Listener, listen listen) error {
		return run(ctx, func() (net.Listener, error) {
			if l := first; l != nil {
				first = nil
				return l, nil
			}
			return listen(f.addr)
		})
	}
	s.services = append(s.services, service{f.name, f.addr, serve})
}

// add returns the mux for the faults of the upstream of that name.
func (f *faults) add(name string) (*http.ServeMux, error) {
	if f.names[name] {
		return nil, merry.Errorf("two upstreams have the name %q", name)
	}
	f.names[name] = true
	mux := http.NewServeMux()
	f.mux.Handle("/"+name+"/", http.StripPrefix("/"+name, mux))
	return mux, nil
}
