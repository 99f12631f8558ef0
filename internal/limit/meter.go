package limit

import "time"

// exchange is how often nodes tell each other what they used; a request that only another node's
// share keeps out fits after the next one.
const exchange = time.Second

// meter counts what one adapter or tenant used of one limit.
type meter struct {
	spent  window
	open   []*charge // not complete
	others map[string]other
	period time.Time // start of the present period between exchanges
	told   float64   // use of all nodes at its start
	taken  float64   // expected use that this node admitted in it
}

// other is what another node said it used.
type other struct {
	used float64
	at   time.Time
}

// own returns the use of this node within the last minute, pending requests included.
func (m *meter) own(now time.Time) float64 {
	sum := m.spent.sum(now)
	for _, c := range m.open {
		sum += c.tokens(now)
	}
	return sum
}

// elsewhere returns the use of the other nodes as they last told it.
func (m *meter) elsewhere(now time.Time) float64 {
	sum := 0.0
	for _, o := range m.others {
		if now.Sub(o.at) < minute {
			sum += o.used
		}
	}
	return sum
}

// used returns the use of all nodes as far as it is known.
func (m *meter) used(now time.Time) float64 {
	return m.own(now) + m.elsewhere(now)
}

// wait returns how long it takes until need fits under limit; zero means that it fits now.
// Between two exchanges a node uses no more than its part of what was left, or one request, whichever is more:
// nodes that each took all of the rest would pass the limit as many times as there are nodes.
func (m *meter) wait(now time.Time, need, limit float64, peers int) time.Duration {
	m.turn(now)
	used := m.used(now)
	if used+need > limit {
		return m.spent.until(now, used+need-limit)
	}
	if peers > 0 && m.taken+need > max((limit-m.told)/float64(1+peers), need) {
		return m.period.Add(exchange).Sub(now)
	}
	return 0
}

// turn starts a new period where the present one is over.
func (m *meter) turn(now time.Time) {
	if now.Sub(m.period) < exchange {
		return
	}
	m.period = now
	m.told = m.used(now)
	m.taken = 0
}
