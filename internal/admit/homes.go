package admit

import (
	"slices"
	"strings"
	"sync"

	"damaskreach/internal/sess"
	"damaskreach/internal/spread"
)

const mostHomes = 4096 // kept; beyond it they are found anew

// homes finds the node that gathers the use of an adapter or tenant. It goes by the sessions alone and not by what this
// node can reach: nodes that asked different ones would each be told of a part of the use.
type homes struct {
	mu    sync.Mutex
	nodes []sess.Session
	ids   []string
	found map[string]sess.Session // by adapter or tenant; finding one costs a hash for each node
}

// set takes the nodes that serve and reports whether they have changed.
func (h *homes) set(nodes []sess.Session) bool {
	ids := make([]string, 0, len(nodes))
	for _, s := range nodes {
		ids = append(ids, s.ID())
	}
	slices.Sort(ids)
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Equal(ids, h.ids) {
		return false
	}
	h.nodes, h.ids, h.found = nodes, ids, map[string]sess.Session{}
	return true
}

// of returns the home of a key of package limit, which has the unit before the adapter or tenant.
func (h *homes) of(key string) (sess.Session, bool) {
	_, name, _ := strings.Cut(key, "/")
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.found[name]; ok {
		return s, true
	}
	id := spread.OwnerOf(h.ids, name)
	for _, s := range h.nodes {
		if s.ID() == id {
			if len(h.found) >= mostHomes {
				clear(h.found)
			}
			h.found[name] = s
			return s, true
		}
	}
	return sess.Session{}, false
}

// group returns reports by the home that they go to.
func (h *homes) group(used map[string]float64) map[sess.Session]report {
	all := map[sess.Session]report{}
	for key, amount := range used {
		if s, ok := h.of(key); ok {
			r := all[s]
			r.Keys, r.Used = append(r.Keys, key), append(r.Used, amount)
			all[s] = r
		}
	}
	return all
}
