package losses

import (
	"strings"
	"time"
)

// What a request came to, as the tables name it. The first of the late ones that fits is counted.
const (
	intime   = "in time"
	paused   = "paused"        // the first event was in time, a later pause too long
	retried  = "late: retried" // an upstream failed it before
	waited   = "late: load"
	turned   = "late: turn"
	engine   = "late: engine"
	refused  = "refused"
	cut      = "cut"
	left     = "left"     // the caller went away
	mistaken = "mistaken" // it was no proper request, or for no route
)

// kinds are the columns of the tables.
var kinds = []string{intime, waited, turned, engine, retried, paused, refused, cut, left, mistaken}

// tally counts requests.
type tally struct {
	all   int
	kinds map[string]int
	codes map[string]int // of those refused
}

func newTally() *tally {
	return &tally{kinds: map[string]int{}, codes: map[string]int{}}
}

func (t *tally) add(kind, code string) {
	t.all++
	t.kinds[kind]++
	if kind == refused || kind == cut {
		t.codes[code]++
	}
}

// wait is a request that was late behind a load, until what the load waited for is known.
type wait struct {
	at      int64 // Unix nanoseconds
	target  int32
	adapter int32
}

// moment returns when a request began, in Unix seconds.
func (x line) moment() int64 {
	return x.at.Add(-time.Duration(x.Took)).Truncate(span).Unix()
}

// request counts a request that has ended, at the moment when it began.
func (l *Losses) request(x line) {
	kind := x.kind()
	l.tally(l.routes, x.Route).add(kind, x.Code)
	begun := x.moment()
	m, ok := l.moments[begun]
	if !ok {
		m = newTally()
		l.moments[begun] = m
	}
	m.add(kind, x.Code)
	if kind != waited {
		return
	}
	if len(l.waits) >= mostEvents {
		l.unkept++
		return
	}
	l.waits = append(l.waits, wait{x.at.UnixNano(), l.name(x.Target), l.name(x.Adapter)})
}

func (l *Losses) tally(of map[string]*tally, name string) *tally {
	t, ok := of[name]
	if !ok {
		t = newTally()
		of[name] = t
	}
	return t
}

// kind returns what a request came to.
func (x line) kind() string {
	switch x.Code {
	case "ok":
		return x.served()
	case "canceled":
		return left
	case "bad-request", "no-route", "too-large", "slow-body":
		return mistaken
	case "cut", "crashed":
		return cut
	}
	return refused
}

// served returns whether an answer was in time, and what made it late where it was not.
func (x line) served() string {
	switch {
	case x.Goal == 0 || x.First <= x.Goal:
		if x.Most > 0 && x.Pause > x.Most {
			return paused
		}
		return intime
	case x.Sends > 1:
		return retried
	case strings.Contains(x.Note, "loaded"):
		return waited
	case x.Turn > x.First/2:
		return turned
	}
	return engine
}
