// Package admin serves the paths through which process tests set the faults of stand-ins.
package admin

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// Query reads the parameters of one admin call and keeps the first error.
type Query struct {
	values url.Values
	err    error
}

// Handle adds POST /admin/NAME to mux. read takes the parameters and returns what applies them,
// which is called only if all of them are good; otherwise the answer is 400 and nothing changes.
func Handle(mux *http.ServeMux, name string, read func(q *Query) func()) {
	mux.HandleFunc("POST /admin/"+name, func(w http.ResponseWriter, r *http.Request) {
		q := &Query{values: r.URL.Query()}
		apply := read(q)
		if q.err != nil {
			http.Error(w, q.err.Error(), http.StatusBadRequest)
			return
		}
		apply()
		w.WriteHeader(http.StatusNoContent)
	})
}

// Text returns a parameter that must not be empty.
func (q *Query) Text(name string) string {
	return parse(q, name, func(text string) (string, error) { return text, nil })
}

// Bool returns a parameter that is true or false.
func (q *Query) Bool(name string) bool {
	return parse(q, name, strconv.ParseBool)
}

// Int returns a parameter that is a number, 0 or more.
func (q *Query) Int(name string) int {
	return parse(q, name, func(text string) (int, error) {
		n, err := strconv.ParseUint(text, 10, 31)
		return int(n), err
	})
}

// Factor returns a parameter that is a number above 0.
func (q *Query) Factor(name string) float64 {
	return parse(q, name, func(text string) (float64, error) {
		f, err := strconv.ParseFloat(text, 64)
		if err == nil && (!(f > 0) || math.IsInf(f, 0)) {
			err = merry.New("not a number above 0")
		}
		return f, err
	})
}

// Duration returns a parameter in the form of time.ParseDuration, 0 or more.
func (q *Query) Duration(name string) time.Duration {
	return parse(q, name, func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		if err == nil && d < 0 {
			err = merry.New("negative")
		}
		return d, err
	})
}

// Fail makes the call answer 400 unless an earlier error does.
func (q *Query) Fail(err error) {
	if q.err == nil {
		q.err = err
	}
}

func parse[T any](q *Query, name string, read func(string) (T, error)) T {
	var none T
	text := q.values.Get(name)
	if text == "" {
		q.Fail(merry.Errorf("parameter %q is missing", name))
		return none
	}
	value, err := read(text)
	if err != nil {
		q.Fail(merry.Prependf(err, "parameter %q", name))
		return none
	}
	return value
}
