package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store without faults.
type store struct {
	begun time.Time

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	rows    map[string]row
	log     []row
	version int64
}

func newStore() *store {
	return &store{begun: time.Now(), changed: make(chan struct{}), rows: map[string]row{}}
}

// put writes a row as the operator and runners do; nil removes it.
func (s *store) put(table, key string, value any) {
	r := row{Table: table, Key: key, Deleted: value == nil}
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err) // values of the stand-ins can be encoded
		}
		r.Value = data
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r.Version = s.version
	s.apply(r)
}

// apply puts a change into force. The caller holds the lock.
func (s *store) apply(r row) {
	name := r.Table + "/" + r.Key
	if r.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls that the product makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/rows-tx":
		s.tx(w, r)
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, version int64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "schema_version": version, "now_ms": time.Since(s.begun).Milliseconds(), "has_more": false,
	})
}

// tx applies a transaction, or none of it if a row is not as expected.
func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Write, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var other []row
	for _, e := range tx.Expected {
		if found := s.rows[e.Table+"/"+e.Key]; found.Version != e.Version {
			other = append(other, found)
		}
	}
	if other != nil {
		s.answer(w, http.StatusPreconditionFailed, other, s.version)
		return
	}
	s.version++
	for _, put := range tx.Write {
		put.Version = s.version
		s.apply(put)
	}
	for _, drop := range tx.Remove {
		drop.Version, drop.Deleted = s.version, true
		s.apply(drop)
	}
	s.answer(w, http.StatusOK, nil, s.version)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for name, found := range s.rows {
		if strings.HasPrefix(name, q.Get("table")+"/") && found.Key >= q.Get("from") && (!q.Has("to") || found.Key < q.Get("to")) {
			rows = append(rows, found)
		}
	}
	s.answer(w, http.StatusOK, rows, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		rows, version, changed := s.since(q.Get("table"), after)
		if len(rows) > 0 || wait == 0 {
			s.answer(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			wait = 0
		}
	}
}

// since returns a table's changes after a version, in order, the newest version, and what is closed at the next change.
func (s *store) since(table string, after int64) (rows []row, version int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []row{}
	for i := len(s.log) - 1; i >= 0 && s.log[i].Version > after; i-- {
		if s.log[i].Table == table {
			rows = append([]row{s.log[i]}, rows...)
		}
	}
	return rows, s.version, s.changed
}
