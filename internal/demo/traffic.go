package demo

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/plain"
	"damaskreach/internal/stand/site"
)

const (
	bookingShare = 0.2 // of requests, all non-idempotent
	skewSteady   = 1.2 // exponent of the popularity of adapters at Kingston
	skewSudden   = 0.9 // at Almaty, whose demand spreads wider
	suddenShare  = 0.1 // of Almaty's requests that ask for a rare adapter
	shifts       = 3   // times Kingston's popular adapters change
	leastTokens  = 3   // of an answer
	moreTokens   = 10  // random addition
	bookingType  = "application/json"
	bookingPath  = "/slots"
)

// traffic makes requests in a site's manner: Kingston's demand comes in steady shifts, Almaty's spreads wider with sudden
// need of rare adapters.
type traffic struct {
	options options
	heads   []float64 // cumulative popularity by rank
}

// demand is one request of a caller.
type demand struct {
	number  int
	booking bool
	model   string
	prompt  string
	tokens  int
	body    string // of a booking
}

func newTraffic(o options) *traffic {
	skew := skewSteady
	if o.Site == "almaty" {
		skew = skewSudden
	}
	t := &traffic{options: o}
	total := 0.0
	for rank := range adapters {
		total += math.Pow(float64(rank+1), -skew)
		t.heads = append(t.heads, total)
	}
	return t
}

func (t *traffic) next(n int) demand {
	random := pick(t.options.Seed, n)
	d := demand{
		number: n,
		tokens: leastTokens + random.IntN(moreTokens),
		prompt: fmt.Sprintf("request %d of seed %d", n, t.options.Seed),
	}
	if random.Float64() < bookingShare {
		d.booking = true
		d.body = fmt.Sprintf(`{"slot":%d,"seed":%d}`, n, t.options.Seed)
		return d
	}
	d.model = site.AdapterName(t.adapter(random, n)) + "@v1"
	return d
}

func (t *traffic) adapter(random *rand.Rand, n int) int {
	if t.options.Site == "almaty" && random.Float64() < suddenShare {
		return adapters/2 + random.IntN(adapters/2)
	}
	rank := t.rank(random)
	if t.options.Site == "kingston" {
		shift := n * shifts / max(1, t.options.Requests)
		return (rank + shift*adapters/shifts) % adapters
	}
	return rank
}

func (t *traffic) rank(random *rand.Rand) int {
	at := random.Float64() * t.heads[len(t.heads)-1]
	for rank, head := range t.heads {
		if at < head {
			return rank
		}
	}
	return adapters - 1
}

// want returns the whole answer of a request.
func (d demand) want() string {
	if d.booking {
		return string(plain.Answer("POST", bookingPath, bookingType, []byte(d.body)))
	}
	return strings.Join(engsim.Answer(d.model, d.prompt, d.tokens), "")
}
