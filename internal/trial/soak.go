package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"damaskreach/internal/runner"
	"damaskreach/internal/seen"
	"damaskreach/pkg/head"
	"damaskreach/pkg/verd"
)

const (
	soakTime   = 25 * time.Second // in which requests are sent and faults set in
	soakAsks   = 60               // requests, each with its repeats
	soakFaults = 10
	askTime    = 15 * time.Second // of a caller's patience with one try
	mostTries  = 6
	mostRetry  = 10 * time.Second // of a Retry-After that callers still wait for
	longest    = 20 * time.Second // request that the site allows
	endTime    = 20 * time.Second
	poison     = "rebar 0/0"
)

// Soak runs one site with requests and combined faults drawn from seed, and returns what was wrong. It belongs in a
// synctest bubble of its own.
func Soak(seed int64) ([]string, error) {
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	t := NewTrial(seed, 3+random.IntN(4), 2+random.IntN(3), 1+random.IntN(3))
	t.End = endTime
	t.Site.Conf.MaxRequest = longest
	t.vary(random)
	if err := t.Start(); err != nil {
		return nil, err
	}
	var all sync.WaitGroup
	for n := range soakAsks {
		a := t.draw(random, n)
		all.Go(func() { t.play(a) })
	}
	t.disturb(random)
	all.Wait()
	t.Stop()
	return t.Breaches(), nil
}

// vary draws what kind of upstreams the site has.
func (t *Trial) vary(random *rand.Rand) {
	resumes := random.IntN(3) > 0
	for _, e := range t.Site.Engines {
		e.Fences = random.IntN(2) == 0
		e.Restart = time.Duration(1+random.IntN(8)) * time.Second
		e.Poison = poison
	}
	for _, p := range t.Site.Plains {
		p.Restart = time.Duration(1+random.IntN(8)) * time.Second
		p.Slow(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	t.Site.Spec = func(r runner.Runner) runner.Runner {
		r.Resumes = resumes
		return r
	}
}

// asking is one request of a caller with its repeats.
type asking struct {
	at      time.Duration
	seed    uint64
	booking bool
	key     string
	headers map[string]string
	model   string
	text    string
	tokens  int
}

func (t *Trial) draw(random *rand.Rand, n int) asking {
	a := asking{
		at:      time.Duration(random.Int64N(int64(soakTime))),
		seed:    random.Uint64(),
		booking: random.IntN(2) == 0,
		headers: map[string]string{},
		model:   Model(random.IntN(adapters)),
		text:    fmt.Sprintf("note %d", n),
		tokens:  1 + random.IntN(80),
	}
	switch random.IntN(4) {
	case 0:
		a.headers[head.Timeout] = (time.Duration(1+random.IntN(10)) * time.Second).String()
	case 1:
		a.headers[head.Once] = "true"
	}
	if random.IntN(3) > 0 {
		a.key = fmt.Sprintf("key-%d", n)
		a.headers[head.Key] = a.key
	}
	if random.IntN(20) == 0 {
		a.text = poison
	}
	return a
}

// play sends a request, and again through other nodes for as long as that is allowed, sometimes before the first try
// has ended.
func (t *Trial) play(a asking) {
	random := rand.New(rand.NewPCG(a.seed, 1))
	time.Sleep(a.at)
	var all sync.WaitGroup
	defer all.Wait()
	for range mostTries {
		node := random.IntN(t.Nodes)
		patience := askTime
		if random.IntN(4) == 0 {
			patience = time.Duration(random.IntN(3000)) * time.Millisecond
		}
		if a.key != "" && random.IntN(4) == 0 {
			other := random.IntN(t.Nodes)
			all.Go(func() { t.try(a, other, askTime) })
		}
		s := t.try(a, node, patience)
		if s.Whole || !a.again(s) || s.Retry > mostRetry {
			return
		}
		time.Sleep(max(s.Retry, 200*time.Millisecond))
	}
}

// again reports whether a caller may send its request once more.
func (a asking) again(s seen.Seen) bool {
	if s.Verdict == verd.NotRun.String() || a.key != "" {
		return true
	}
	return !a.booking && a.headers[head.Once] == ""
}

func (t *Trial) try(a asking, node int, patience time.Duration) seen.Seen {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if a.booking {
		return t.Book(ctx, node, a.key, fmt.Sprintf(`{"slot":%q}`, a.text))
	}
	return t.Complete(ctx, node, a.model, a.text, a.tokens, a.headers)
}
