package serve

import (
	"context"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/stand/admin"
	"damaskreach/internal/stand/engsim"
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
	for _, e := range engines {
		if err := s.addEngine(e, f); err != nil {
			return err
		}
	}
	s.addHandler("admin", o.Admin, f.mux)
	// TODO: serve internal/stand/wstore at o.Weights, with Load as the engines' Fetch, and internal/stand/plain.
	if o.Weights != "" || len(o.Plain) > 0 {
		return merry.New("--weights and --plain are not served yet")
	}
	return nil
}

func (s *site) addEngine(e engineFlag, f *faults) error {
	engine := engsim.NewEngine()
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
	admin.Handle(mux, "fail", func(q *admin.Query) func() {
		count := q.Int("count")
		return func() { engine.FailLoads(count) }
	})
	admin.Handle(mux, "slow", func(q *admin.Query) func() {
		factor := q.Int("factor")
		return func() { engine.Slow(float64(factor)) }
	})
	return nil
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
