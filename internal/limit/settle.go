package limit

import (
	"slices"
	"strings"
	"time"

	"damaskreach/internal/call"
)

const (
	requestsOf = "requests/"
	tokensOf   = "tokens/"
	adapterOf  = "adapter/"
	tenantOf   = "tenant/"
)

func requestKey(of string) string { return requestsOf + of }
func tokenKey(of string) string   { return tokensOf + of }
func adapterKey(n string) string  { return adapterOf + n }
func tenantKey(n string) string   { return tenantOf + n }

// Settle charges the tokens that a call's answer had in place of what was expected.
func (l *Limit) Settle(now time.Time, c call.Call, tokens int) {
	booked := l.open[c.ID]
	if booked == nil {
		return
	}
	for _, of := range []string{adapterKey(c.Adapter), tenantKey(c.Tenant)} {
		l.learn(of, c, float64(tokens), now.Sub(booked.at))
	}
	l.close(now, c, float64(tokens))
}

// Return takes the charge of a call back that did not run.
func (l *Limit) Return(now time.Time, c call.Call) {
	booked := l.open[c.ID]
	if booked == nil {
		return
	}
	for _, key := range booked.keys {
		if strings.HasPrefix(key, requestsOf) {
			l.meter(key).spent.take(now, booked.at)
		}
	}
	l.close(now, c, 0)
}

// close ends the pending charge of a call.
func (l *Limit) close(now time.Time, c call.Call, tokens float64) {
	booked := l.open[c.ID]
	delete(l.open, c.ID)
	for _, key := range booked.keys {
		if !strings.HasPrefix(key, tokensOf) {
			continue
		}
		m := l.meter(key)
		m.open = slices.DeleteFunc(m.open, func(c *charge) bool { return c == booked })
		m.spent.add(now, tokens)
	}
}
