package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"damaskreach/internal/call"
)

// Sites returns the names that New knows.
func Sites() []string {
	return []string{kingston().name, almaty().name, rush().name}
}

// New returns the trace of a site that a seed stands for, or nil where the site is unknown.
func New(name string, seed uint64, span time.Duration) *Trace {
	for _, s := range []site{kingston(), almaty(), rush()} {
		if s.name == name {
			m := &maker{site: s, span: span, rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
			return m.trace()
		}
	}
	return nil
}

// maker draws one trace.
type maker struct {
	site   site
	span   time.Duration
	rand   *rand.Rand
	ranks  []int     // adapter by rank of popularity
	weight []float64 // sum of the popularities up to a rank
	out    []arrival
}

func (m *maker) trace() *Trace {
	m.ranks = m.rand.Perm(adapters)
	m.weight = cumulated(m.site.skew)
	m.adapterRequests()
	m.plainRequests()
	m.suddenNeeds()
	m.rush()
	slices.SortStableFunc(m.out, func(a, b arrival) int { return int(a.At - b.At) })
	for i := range m.out {
		id := fmt.Sprintf("q%06d", i)
		m.out[i].Call.ID = id
		m.out[i].Call.Key = id
	}
	return &Trace{
		Site:     m.site.name,
		Span:     m.span,
		Runners:  m.site.runners(),
		Arrivals: m.out,
		Faults:   m.site.faults(m.span),
	}
}

// cumulated returns the running sum of the Zipf popularities.
func cumulated(skew float64) []float64 {
	sums := make([]float64, adapters)
	sum := 0.0
	for rank := range sums {
		sum += math.Pow(float64(rank+1), -skew)
		sums[rank] = sum
	}
	return sums
}

// pick draws an adapter by its popularity.
func (m *maker) pick() int {
	mark := m.rand.Float64() * m.weight[len(m.weight)-1]
	return m.ranks[sort.SearchFloat64s(m.weight, mark)]
}

// adapterRequests draws the steady traffic, with popularity moving at each shift.
func (m *maker) adapterRequests() {
	next := m.site.shift
	for at := m.gap(m.site.rate); at < m.span; at += m.gap(m.site.rate) {
		for at >= next {
			m.move()
			next += m.site.shift
		}
		m.add(at, m.pick(), false)
	}
}

// move gives a share of the popular ranks to adapters that were rare.
func (m *maker) move() {
	const popular = 100
	for rank := range popular {
		if m.rand.Float64() < m.site.moved {
			other := popular + m.rand.IntN(adapters-popular)
			m.ranks[rank], m.ranks[other] = m.ranks[other], m.ranks[rank]
		}
	}
}

// suddenNeeds draws hours in which a rare adapter is needed urgently: a few requests within a minute.
func (m *maker) suddenNeeds() {
	if m.site.bursts == 0 {
		return
	}
	rate := 1 / m.site.bursts.Seconds()
	for at := m.gap(rate); at < m.span; at += m.gap(rate) {
		adapter := m.ranks[adapters/4+m.rand.IntN(adapters*3/4)]
		when := at
		for range 2 + m.rand.IntN(6) {
			if when < m.span {
				m.add(when, adapter, true)
			}
			when += m.gap(0.2)
		}
	}
}

// rush draws the traffic of the tenant with the most popular adapter while it asks for too much.
func (m *maker) rush() {
	if m.site.rush == 0 {
		return
	}
	const from, to = 0.75, 0.82 // of the span
	rate := m.site.rush * m.site.rate
	tenant := m.ranks[0] % tenants
	end := time.Duration(to * float64(m.span))
	for at := time.Duration(from * float64(m.span)); at < end; at += m.gap(rate) {
		adapter := m.pick()
		for adapter%tenants != tenant {
			adapter = m.pick()
		}
		m.add(at, adapter, false)
	}
	name := tenantName(tenant)
	for i := range m.out {
		m.out[i].Rush = m.out[i].Call.Tenant == name
	}
}

func tenantName(n int) string {
	return fmt.Sprintf("tenant-%02d", n)
}

// plainRequests draws the calls to plain services.
func (m *maker) plainRequests() {
	for at := m.gap(m.site.services); at < m.span; at += m.gap(m.site.services) {
		m.out = append(m.out, arrival{
			At:     at,
			Call:   call.Call{Tenant: "desk", Group: m.site.plain, NonIdempotent: true, Tokens: 1, Most: 1},
			Tokens: 1,
			Prompt: 30 * time.Millisecond,
		})
	}
}

// add draws one request for an adapter.
func (m *maker) add(at time.Duration, adapter int, urgent bool) {
	tokens := m.answer()
	a := arrival{
		At: at,
		Call: call.Call{
			Tenant:  tenantName(adapter % tenants),
			Adapter: fmt.Sprintf("a%04d", adapter),
			Version: "1",
			Group:   m.site.models,
			Tokens:  int(m.site.tokens),
			Most:    int(4 * m.site.tokens),
			Prefix:  fmt.Sprintf("p%04d-%d", adapter, m.rand.IntN(3)),
			Stream:  true,
		},
		Tokens: tokens,
		Prompt: time.Duration(20+m.rand.IntN(60)) * time.Millisecond,
	}
	if urgent {
		a.Call.Priority = 1
	}
	if urgent || m.rand.Float64() < m.site.hurry {
		a.Within = time.Duration((0.6 + 0.8*m.rand.Float64()) * float64(m.site.within))
	}
	m.out = append(m.out, a)
}

// answer draws the length of an answer: most are short, a few long.
func (m *maker) answer() int {
	const spread = 0.6
	mean := math.Log(m.site.tokens) - spread*spread/2
	tokens := math.Exp(mean + spread*m.rand.NormFloat64())
	return min(max(8, int(tokens)), int(4*m.site.tokens))
}

// gap draws the time to the next event of a Poisson process.
func (m *maker) gap(rate float64) time.Duration {
	return time.Duration(m.rand.ExpFloat64() / rate * float64(time.Second))
}
