package engsim

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"damaskreach/internal/stand/recrd"

	"github.com/ansel1/merry/v2"
)

const orderLimit = 64 << 10 // bytes of an order's body

type order struct {
	Model string `json:"model"`
	Fence int64  `json:"fence"`
}

func readOrder(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, orderLimit)).Decode(&o)
	if err != nil || o.Model == "" {
		refuse(w, http.StatusBadRequest, "bad_request", "an order needs a model and a fence")
		return order{}, false
	}
	return o, true
}

// pass reports whether a fencing number is current, and remembers it as the highest. It needs the lock.
func (e *Engine) pass(fence int64) bool {
	if e.Fences && fence < e.fence {
		return false
	}
	if fence > e.fence {
		e.fence = fence
		e.note()
	}
	return true
}

func refuseFence(w http.ResponseWriter) {
	refuse(w, http.StatusPreconditionFailed, "old_fence", "a higher fencing number was seen")
}

// loading is a load in progress.
type loading struct {
	done chan struct{} // closed when the load has ended
	err  error         // why it failed; set before done is closed
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	b := e.boot
	now := b.loading[o.Model]
	switch {
	case !e.pass(o.Fence):
		e.mu.Unlock()
		refuseFence(w)
	case b.models[o.Model]:
		e.mu.Unlock()
		reply(w, http.StatusOK, o)
	case now != nil:
		e.mu.Unlock()
		answerLoad(w, b, now, o)
	case len(b.models)+len(b.loading) >= e.Slots:
		e.mu.Unlock()
		refuse(w, http.StatusConflict, "slots_full", "every adapter slot is in use")
	default:
		now = &loading{done: make(chan struct{})}
		b.loading[o.Model] = now
		e.mu.Unlock()
		e.load(b, now, o.Model)
		answerLoad(w, b, now, o)
	}
}

// load fetches a model on behalf of the boot: like a real engine it goes on when the giver of the order has gone.
func (e *Engine) load(b *boot, now *loading, model string) {
	err := e.fetch(b, model)
	e.mu.Lock()
	defer e.mu.Unlock()
	now.err = err
	close(now.done)
	delete(b.loading, model)
	if err == nil {
		b.models[model] = true
	}
	e.note()
}

func (e *Engine) fetch(b *boot, model string) error {
	if e.Fetch != nil {
		if err := e.Fetch(b.ctx, model); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fails == 0 {
		return nil
	}
	e.fails--
	return merry.Errorf("loading %s: made to fail", model)
}

func answerLoad(w http.ResponseWriter, b *boot, now *loading, o order) {
	<-now.done
	if b.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if now.err != nil {
		refuse(w, http.StatusBadGateway, "load_failed", now.err.Error())
		return
	}
	reply(w, http.StatusOK, o)
}

func (e *Engine) serveUnload(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	switch {
	case !e.pass(o.Fence):
		refuseFence(w)
	case b.loading[o.Model] != nil:
		refuse(w, http.StatusConflict, "loading", "the model is being loaded")
	default:
		e.unload(b, o)
		reply(w, http.StatusOK, o)
	}
}

// Unloads returns a record of every unload that was carried out.
func (e *Engine) Unloads() []recrd.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.unloads)
}

// unload obeys even where the model is in use: engines do, and the breach is what a test looks for.
func (e *Engine) unload(b *boot, o order) {
	now := time.Now()
	for _, r := range slices.Concat(b.running, b.waiting) {
		if r.prefix.model != o.Model {
			continue
		}
		rec := e.log[r.record]
		rec.Breach = "unloaded while in use, by an order with fence " + decimal(o.Fence)
		e.wrong = append(e.wrong, rec.WithEnd(recrd.Cut, now))
		e.settle(r, recrd.Cut)
	}
	e.unloads = append(e.unloads, recrd.Record{Model: o.Model, Boot: b.id, Fence: o.Fence, Started: now, Finished: now, End: recrd.Whole})
	delete(b.models, o.Model)
	b.cache.drop(o.Model, now)
	e.note()
}
