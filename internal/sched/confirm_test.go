package sched_test

import "errors"

func (r *checker) confirmLoad(fails bool) {
	if len(r.loads) == 0 {
		return
	}
	model := r.loads[0]
	r.loads = r.loads[1:]
	if fails {
		delete(r.held, model)
		r.apply(r.s.Loaded(r.now, model, errors.New("load failed")))
		return
	}
	r.held[model] = "resident"
	r.apply(r.s.Loaded(r.now, model, nil))
}

func (r *checker) confirmUnload(outcome string) {
	if len(r.unloads) == 0 {
		return
	}
	model := r.unloads[0]
	r.unloads = r.unloads[1:]
	switch {
	case outcome == "fails":
		r.failedUnloads[model] = true
		r.apply(r.s.Unloaded(r.now, model, errors.New("unload failed")))
		return
	case outcome == "unsent" && r.failedUnloads[model]: // it may be gone: no request may start on it
		r.apply(r.s.UnloadUnsent(r.now, model))
		return
	case outcome == "unsent":
		r.held[model] = "resident"
		if r.lostUnloads[model] {
			r.held[model] = "lost"
		}
		delete(r.lostUnloads, model)
		r.apply(r.s.UnloadUnsent(r.now, model))
		return
	}
	delete(r.held, model)
	delete(r.failedUnloads, model)
	delete(r.lostUnloads, model)
	r.apply(r.s.Unloaded(r.now, model, nil))
}
