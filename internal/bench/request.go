package bench

import (
	"time"

	"damaskreach/internal/call"
)

// request is one caller's request through all of its attempts.
type request struct {
	call     call.Call
	model    string // empty for a plain service
	home     int
	rush     bool // of a tenant that asks for more than the site can serve
	tokens   int
	prompt   time.Duration
	arrived  time.Duration
	deadline time.Duration // zero means none
	attempt  int
	avoid    []string
	runner   string // of the present attempt
	sent     time.Duration
	stall    time.Duration // waited for loads in all attempts
	first    time.Duration // when the first token came; zero before
	over     bool
}

// firstToken notes when the first token came.
func (r *request) firstToken(now time.Duration) {
	if r.first == 0 {
		r.first = now
	}
}
