// Package limit holds callers to the requests and answer tokens a minute that adapters and tenants are allowed.
//
// It does no I/O and starts no goroutines: time comes in as an argument and equal inputs give equal answers.
// A Limit is used from one goroutine.
package limit

import (
	"time"

	"damaskreach/internal/adapt"
	"damaskreach/internal/call"
	"damaskreach/internal/reason"
	"damaskreach/internal/tenant"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// Ways of charging a request before the length of its answer is known.
const (
	Learnt  = "learnt"  // the mean of past answers; the default
	Reserve = "reserve" // the stated maximum, for comparison
	After   = "after"   // nothing until the answer is complete, for comparison
)

// Limit counts use over a sliding minute, to the second.
// Every Admit that returns nil is followed by one Settle or one Return.
type Limit struct {
	way    string
	meters map[string]*meter
	means  map[string]*mean   // answer tokens by adapter and by tenant
	open   map[string]*charge // by request id
	peers  int                // other nodes that share the limits
}

// charge is what a request was charged when it was admitted.
type charge struct {
	at   time.Time
	mean float64 // tokens expected at first
	pace float64 // tokens a second that it is expected to have had since
	most float64 // stated maximum; 0 where there is none
	keys []string
}

// NewLimit returns a Limit that charges in one of the three ways.
func NewLimit(way string) *Limit {
	return &Limit{
		way:    way,
		meters: map[string]*meter{},
		means:  map[string]*mean{},
		open:   map[string]*charge{},
	}
}

// bound is one limit that a call falls under.
type bound struct {
	key   string
	name  string
	unit  string
	limit float64
	need  float64
}

// Admit charges a call to its adapter and tenant, or refuses it and says when it would fit.
func (l *Limit) Admit(now time.Time, c call.Call, a adapt.Adapter, t tenant.Tenant) *refuse.Refusal {
	booked := l.expect(now, c)
	bounds := boundsOf(a, t, booked.mean)
	if refusal := l.longest(now, bounds); refusal != nil {
		return refusal
	}
	l.charge(now, c, booked, bounds)
	return nil
}

// boundsOf returns the limits of a call that is expected to take so many answer tokens.
func boundsOf(a adapt.Adapter, t tenant.Tenant, tokens float64) []bound {
	return []bound{
		{key: requestKey(adapterKey(a.Name)), name: "adapter " + a.Name, unit: "requests", limit: float64(a.Requests), need: 1},
		{key: tokenKey(adapterKey(a.Name)), name: "adapter " + a.Name, unit: "answer tokens", limit: float64(a.Tokens), need: tokens},
		{key: requestKey(tenantKey(t.Name)), name: "tenant " + t.Name, unit: "requests", limit: float64(t.Requests), need: 1},
		{key: tokenKey(tenantKey(t.Name)), name: "tenant " + t.Name, unit: "answer tokens", limit: float64(t.Tokens), need: tokens},
	}
}

// longest returns the refusal with the longest wait: the call fits once all limits have room.
func (l *Limit) longest(now time.Time, bounds []bound) *refuse.Refusal {
	var worst *refuse.Refusal
	for _, b := range bounds {
		refusal := l.check(now, b)
		if refusal != nil && (worst == nil || refusal.Retry > worst.Retry) {
			worst = refusal
		}
	}
	return worst
}

// check refuses a call that would pass one limit.
func (l *Limit) check(now time.Time, b bound) *refuse.Refusal {
	if b.limit <= 0 {
		return nil
	}
	wait := l.meter(b.key).wait(now, min(b.need, b.limit), b.limit, l.peers)
	if wait == 0 {
		return nil
	}
	why := reason.Reason{
		Kind:  refuse.Limited,
		Text:  "the limit of " + b.name + " in " + b.unit + " a minute is used up",
		Wait:  wait,
		Limit: b.limit,
		Used:  l.meter(b.key).used(now),
	}
	return refuse.NewRefusal(verd.NotRun, refuse.Limited, "%s", why).WithRetry(wait)
}

// charge books a call; tokens stay pending until the answer is complete.
func (l *Limit) charge(now time.Time, c call.Call, booked *charge, bounds []bound) {
	for _, b := range bounds {
		if b.limit <= 0 {
			continue
		}
		booked.keys = append(booked.keys, b.key)
		l.meter(b.key).taken += b.need
		if b.unit == "requests" {
			l.meter(b.key).spent.add(now, 1)
			continue
		}
		l.meter(b.key).open = append(l.meter(b.key).open, booked)
	}
	l.open[c.ID] = booked
}

func (l *Limit) meter(key string) *meter {
	m := l.meters[key]
	if m == nil {
		m = &meter{}
		l.meters[key] = m
	}
	return m
}
