package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxRows is the most rows in one answer of the store.
const maxRows = 500

// row is a row of the platform's store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowKey identifies a row.
type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// storeAnswer is the body of the store's answers.
type storeAnswer struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"has_more"`
	Version int64 `json:"schema_version"`
	NowMS   int64 `json:"now_ms"`
}

// storeEdit is the body of a transaction.
type storeEdit struct {
	Expected []row `json:"expected"`
	Write    []row `json:"write"`
	Remove   []row `json:"remove"`
}

// store is a stand-in for the platform's store without any disruption: linearizable, with an endless history.
type store struct {
	begun time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	log     []row // every change, oldest first
	version int64
	changed chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{begun: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/-/rows-get":
		s.get(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/-/rows-feed":
		s.feed(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/-/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// put writes a row as the operator or a server does; nil removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := row{Table: table, Key: key}
	if value == nil {
		s.apply(nil, []row{next})
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // plain maps cannot fail
	}
	next.Value = data
	s.apply([]row{next}, nil)
}

// apply makes the changes of one transaction; the lock is held.
func (s *store) apply(write, remove []row) {
	s.version++
	for _, r := range write {
		r.Version = s.version
		s.rows[r.id()] = r
		s.log = append(s.log, r)
	}
	for _, r := range remove {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		s.log = append(s.log, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, a storeAnswer) {
	a.NowMS = time.Since(s.begun).Milliseconds()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // a caller that has left needs no answer
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	a := storeAnswer{Version: s.version}
	for id, found := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			a.Rows = append(a.Rows, found)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(a.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		a, changed := s.changesAfter(q.Get("table"), after)
		if len(a.Rows) > 0 {
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.answer(w, http.StatusOK, a)
			return
		}
	}
}

// changesAfter returns the newest change of each row of a table after a version, in order, and a channel that the next change closes.
func (s *store) changesAfter(table string, after int64) (storeAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Version: s.version}
	newest := map[rowKey]bool{}
	for _, change := range slices.Backward(s.log) {
		if change.Version <= after {
			break
		}
		if change.Table == table && !newest[change.id()] {
			newest[change.id()] = true
			a.Rows = append(a.Rows, change)
		}
	}
	slices.Reverse(a.Rows)
	return a, s.changed
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx storeEdit
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range slices.Concat(tx.Write, tx.Remove) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	conflict := false
	var current []row
	for _, e := range tx.Expected {
		now := s.rows[e.id()]
		conflict = conflict || now.Version != e.Version
		if now.Key != "" {
			current = append(current, now)
		}
	}
	if !conflict {
		s.apply(tx.Write, tx.Remove)
		current = nil
	}
	version := s.version
	s.mu.Unlock()
	status := http.StatusOK
	if conflict {
		status = http.StatusPreconditionFailed
	}
	s.answer(w, status, storeAnswer{Rows: current, Version: version})
}
