package limit

import "time"

// exchange is how old another node's use may be when it is known here; a request that only another node's share keeps out
// fits after that time.
const exchange = time.Second

// meter counts what one adapter or tenant used of one limit.
type meter struct {
	spent  window
	open   []*charge // not complete
	heard  heard
	period time.Time // start of the present period between exchanges
	told   float64   // use of all nodes at its start
	held   float64   // use of this node at its start
	taken  float64   // expected use that this node admitted in it
}

// own returns the use of this node within the last minute, pending requests included.
func (m *meter) own(now time.Time) float64 {
	sum := m.spent.sum(now)
	for _, c := range m.open {
		sum += c.tokens(now)
	}
	return sum
}

// used returns the use of all nodes as far as it is known.
func (m *meter) used(now time.Time) float64 {
	return m.own(now) + m.heard.elsewhere(now)
}

// wait returns how long it takes until need fits under limit; zero means that it fits now.
// Between two exchanges a node uses no more than its part of what was left, or one request, whichever is more:
// nodes that each took all of the rest would pass the limit as many times as there are nodes.
func (m *meter) wait(now time.Time, need, limit float64, peers int) time.Duration {
	m.turn(now, peers)
	used := m.used(now)
	if used+need > limit {
		return m.spent.until(now, used+need-limit)
	}
	if peers > 0 && m.since(now, peers)+need > max(m.part(limit, peers), need) {
		return max(m.period.Add(exchange).Sub(now), exchange/2)
	}
	return 0
}

// part returns what this node may use in a period; nothing where no home has told yet what the others used.
func (m *meter) part(limit float64, peers int) float64 {
	if m.period.IsZero() {
		return 0
	}
	return (limit - m.told) / float64(1+peers)
}

// since returns what this node used of its part. Where the home is silent the period goes on, and the part is what its
// use may have grown by since the home last answered: were a new part taken every second, all nodes together would take
// the rest of the limit again and again until the home's session has ended.
func (m *meter) since(now time.Time, peers int) float64 {
	if m.silent(now, peers) {
		return m.own(now) - m.held
	}
	return m.taken
}

// silent reports whether a new period was due but nothing was heard since the present one began.
func (m *meter) silent(now time.Time, peers int) bool {
	return peers > 0 && now.Sub(m.period) >= exchange && !m.heard.at.After(m.period)
}

// turn starts a new period where the present one is over.
func (m *meter) turn(now time.Time, peers int) {
	if now.Sub(m.period) < exchange || m.silent(now, peers) {
		return
	}
	m.period = now
	m.told = m.used(now)
	m.held = m.own(now)
	m.taken = 0
}
