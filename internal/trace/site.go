package trace

import (
	"fmt"
	"time"

	"damaskreach/internal/runner"
)

// Sizes both sites share.
const (
	adapters = 3000
	tenants  = 40
	slots    = 8
	batch    = 16
)

// site is what makes up one site's workload.
type site struct {
	name     string
	models   string // group of the model engines
	plain    string // group of the plain services
	centres  [3]string
	rate     float64       // adapter requests a second
	services float64       // plain service requests a second
	skew     float64       // exponent of the popularity by rank
	tokens   float64       // mean of an answer
	shift    time.Duration // between shifts of popularity
	moved    float64       // share of the popular ranks that a shift gives to other adapters
	bursts   time.Duration // mean time between sudden needs of a rare adapter; zero means none
	rush     float64       // times the usual traffic that one tenant adds for a while; zero means none
	hurry    float64       // share of requests with a deadline
	within   time.Duration // typical time to a deadline
}

func kingston() site {
	return site{
		name: "kingston", models: "batch-assist", plain: "order-desk",
		centres: [3]string{"hall-marcus", "hall-spanish", "hall-harbour"},
		rate:    5, services: 3, skew: 1.5, tokens: 400,
		shift: 12 * time.Minute, moved: 0.3,
		hurry: 0.2, within: 45 * time.Second,
	}
}

func almaty() site {
	return site{
		name: "almaty", models: "lm-writers", plain: "booking-core",
		centres: [3]string{"alatau", "medeu", "turksib"},
		rate:    2, services: 3, skew: 1.2, tokens: 250,
		shift: 30 * time.Minute, moved: 0.1,
		bursts: 20 * time.Second,
		hurry:  0.4, within: 30 * time.Second,
	}
}

// rush is Kingston with one tenant that asks for more than the site can serve, for some minutes.
func rush() site {
	s := kingston()
	s.name = "rush"
	s.rush = 4
	return s
}

// runners returns the site's 12 engines and 3 plain services.
func (s site) runners() []runner.Runner {
	var all []runner.Runner
	for i := range 12 {
		all = append(all, runner.Runner{
			Name:   fmt.Sprintf("%s-%02d", s.models, i+1),
			Group:  s.models,
			Centre: s.centres[i%3],
			Slots:  slots,
			Batch:  batch,
		})
	}
	for i := range 3 {
		all = append(all, runner.Runner{
			Name:   fmt.Sprintf("%s-%02d", s.plain, i+1),
			Group:  s.plain,
			Centre: s.centres[i%3],
			Batch:  batch,
		})
	}
	return all
}

// faults returns the site's faults: each kind once, two of them close together.
func (s site) faults(span time.Duration) []fault {
	part := func(share float64) time.Duration { return time.Duration(share * float64(span)) }
	return []fault{
		{At: part(0.30), Lasts: 10 * time.Second, Kind: Restart, Runner: s.models + "-03"},
		{At: part(0.45), Lasts: 2 * time.Minute, Kind: Slow, Share: 0.4},
		{At: part(0.60), Lasts: time.Minute, Kind: Failing, Share: 0.3},
		{At: part(0.61), Lasts: 10 * time.Second, Kind: Restart, Runner: s.models + "-07"},
	}
}
