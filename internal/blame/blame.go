// Package blame remembers requests whose upstreams broke off, to find those that crash whatever runs them.
//
// Now and then one request crashes each upstream that runs it, and its caller, or this program, sends it again. Without a
// memory it takes down one upstream after the other, and every request beside it each time; one would notice upstreams that
// restart in turn. A request that merely ran beside the cause breaks off too, but seldom at three upstreams.
package blame

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// enough is how many upstreams must have broken off under a request for it to be held back.
	enough = 3
	// life is how long a request is remembered from its last break: callers that repeat one do so within minutes.
	life = 2 * time.Minute
	// most is how many requests are remembered, some 200 bytes each. A loss of many upstreams breaks thousands at once.
	most = 20000
	// mostTold is how many breaks one message holds.
	mostTold = 200
)

// Blame may be used from several goroutines. The zero value remembers nothing.
type Blame struct {
	mu    sync.Mutex
	known map[string]*record
	fresh []string // breaks seen here that others were not told of yet
}

type record struct {
	places map[string]bool // upstreams, each in one incarnation
	until  time.Time
}

// Print returns what requests that are the same have in common.
func Print(parts ...string) string {
	sum := sha256.New()
	for _, p := range parts {
		sum.Write([]byte(p))
		sum.Write([]byte{0})
	}
	return hex.EncodeToString(sum.Sum(nil)[:12])
}

// Broke records that an upstream broke off under a request, and returns how many have so far.
func (b *Blame) Broke(mark, place string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.fresh) < mostTold {
		b.fresh = append(b.fresh, mark+" "+place)
	}
	return b.note(mark, place, now)
}

func (b *Blame) note(mark, place string, now time.Time) int {
	if b.known == nil || len(b.known) >= most {
		b.known = map[string]*record{}
	}
	r := b.known[mark]
	if r == nil || now.After(r.until) {
		r = &record{places: map[string]bool{}}
		b.known[mark] = r
	}
	r.places[place] = true
	r.until = now.Add(life)
	return len(r.places)
}

// Barred reports whether a request is held back.
func (b *Blame) Barred(mark string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.known[mark]
	return r != nil && len(r.places) >= enough && now.Before(r.until)
}

// Served forgets a request that was answered whole: it was not the cause.
func (b *Blame) Served(mark string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.known, mark)
}

// News returns the breaks seen here since the last call.
func (b *Blame) News() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.fresh
	b.fresh = nil
	return list
}

// Hear takes breaks that another host has seen.
func (b *Blame) Hear(list []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, text := range list {
		if mark, place, ok := cut(text); ok {
			b.note(mark, place, now)
		}
	}
}

func cut(text string) (mark, place string, ok bool) {
	const size = 24 // letters of a mark
	if len(text) <= size || text[size] != ' ' {
		return "", "", false
	}
	return text[:size], text[size+1:], true
}
