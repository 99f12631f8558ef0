package suspct

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// crash is one breakdown of a runner. All requests that ran there at the time share it.
type crash struct {
	ID     string `json:"id" msgpack:"id"`
	Runner string `json:"runner" msgpack:"runner"`
}

// record is what is known of one suspect. Its exported fields are the value of its row.
type record struct {
	Crashes []crash `json:"crashes"`
	Request string  `json:"request"` // id of the request that first made it

	rev   int64     // of its row; 0 where none is known
	until time.Time // end of its life by this node's clock
	dirty bool      // the row does not show it yet
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings always encode
	}
	return value
}

func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, merry.Prepend(err, "reading a suspect")
	}
	return r, nil
}

// with returns the record with the crashes of other, and whether any of them was new.
func (r record) with(other []crash) (record, bool) {
	grown := false
	r.Crashes = slices.Clone(r.Crashes)
	for _, c := range other {
		if slices.ContainsFunc(r.Crashes, func(known crash) bool { return known.ID == c.ID }) {
			continue
		}
		r.Crashes = append(r.Crashes, c)
		grown = true
	}
	return r, grown
}

// find returns a live record, or an empty one. It needs the lock.
func (s *Suspect) find(key string) record {
	r, ok := s.known[key]
	if !ok || !time.Now().Before(r.until) {
		return record{}
	}
	return r
}

// merge adds crashes to a record and returns it. It needs the lock.
func (s *Suspect) merge(key, request string, crashes []crash) (record, bool) {
	r := s.find(key)
	r, grown := r.with(crashes)
	if !grown {
		return r, false
	}
	if r.Request == "" {
		r.Request = request
	}
	s.trim()
	r.until = time.Now().Add(s.Life)
	s.known[key] = r
	return r, true
}

// trim drops the record that ends first when there are very many. One crash makes a few dozen records, so that only a
// site whose upstreams all break down over and over gets there, and its memory must not grow with each breakdown.
func (s *Suspect) trim() {
	if len(s.known) < mostRecords {
		return
	}
	first := ""
	for key, r := range s.known {
		if first == "" || r.until.Before(s.known[first].until) {
			first = key
		}
	}
	delete(s.known, first)
}
