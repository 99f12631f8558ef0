package sched_test

import "errors"

func (r *referee) confirmLoad(fails bool) {
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

func (r *referee) confirmUnload(outcome string) {
	if len(r.unloads) == 0 {
		return
	}
	model := r.unloads[0]
	r.unloads = r.unloads[1:]
	switch {
	case outcome == "fails":
		r.sent[model] = true
		r.apply(r.s.Unloaded(r.now, model, errors.New("unload failed")))
		return
	case outcome == "unsent" && r.sent[model]: // it may be gone: nothing may start on it
		r.apply(r.s.Unsent(r.now, model))
		return
	case outcome == "unsent":
		r.held[model] = "resident"
		if r.emptied[model] {
			r.held[model] = "lost"
		}
		delete(r.emptied, model)
		r.apply(r.s.Unsent(r.now, model))
		return
	}
	delete(r.held, model)
	delete(r.sent, model)
	delete(r.emptied, model)
	r.apply(r.s.Unloaded(r.now, model, nil))
}
