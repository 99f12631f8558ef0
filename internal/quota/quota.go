// Package quota measures the ways of charging answer tokens against a limit, in virtual time.
package quota

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"damaskreach/internal/adapt"
	"damaskreach/internal/agenda"
	"damaskreach/internal/call"
	"damaskreach/internal/limit"
	"damaskreach/internal/tenant"
)

// The workload of the limit comparison: one adapter, answers far shorter than their stated maximum.
const (
	quotaTokens = 20_000 // limit in answer tokens per minute
	quotaMean   = 250.0  // tokens of an answer
	quotaMost   = 1000   // stated maximum
	quotaPace   = 25 * time.Millisecond
	quotaSpan   = 30 * time.Minute
	nodesOfSite = 7
)

// run is one way of charging under one demand.
type run struct {
	sim    *agenda.Queue
	rand   *rand.Rand
	nodes  []*limit.Limit
	spent  []spending // of complete answers, by time
	flying float64    // true tokens of answers in progress
	Quota
}

// spending is a complete answer.
type spending struct {
	at     time.Duration
	tokens float64
}

// Quota holds the figures of one way of charging.
type Quota struct {
	Way       string  `json:"way"`
	Nodes     int     `json:"nodes"`
	Demand    float64 `json:"demand"` // asked tokens over the limit
	Asked     int     `json:"asked"`
	Refused   int     `json:"refused"`
	False     int     `json:"false"`     // refused though the true use had room for it
	Overshoot float64 `json:"overshoot"` // most that a minute passed the limit by, as a share of it
	Served    float64 `json:"served"`    // tokens served over what the limit and the demand allow
}

// Run compares the ways of charging at several demands, on one node and on the seven of a site.
func Run(seed uint64) []Quota {
	var all []Quota
	for _, demand := range []float64{0.5, 0.8, 1, 1.5} {
		for _, way := range []string{limit.Reserve, limit.After, limit.Learnt} {
			all = append(all, measure(way, 1, demand, seed))
		}
		all = append(all, measure(limit.Learnt, nodesOfSite, demand, seed))
	}
	return all
}

func measure(way string, nodes int, demand float64, seed uint64) Quota {
	q := &run{sim: &agenda.Queue{}, rand: rand.New(rand.NewPCG(seed, 7))}
	q.Way, q.Nodes, q.Demand = way, nodes, demand
	for range nodes {
		l := limit.NewLimit(way)
		l.Among(nodes - 1)
		q.nodes = append(q.nodes, l)
	}
	rate := demand * quotaTokens / quotaMean / 60
	for at := 0.0; at < quotaSpan.Seconds(); at += q.rand.ExpFloat64() / rate {
		tokens := q.answer()
		node := q.rand.IntN(nodes)
		q.sim.At(time.Duration(at*float64(time.Second)), func() { q.ask(node, tokens) })
	}
	q.sim.Every(time.Second, quotaSpan, q.exchange)
	q.sim.Run(quotaSpan)
	return q.figures()
}

// answer draws the length of an answer.
func (q *run) answer() float64 {
	const spread = 0.7
	tokens := math.Exp(math.Log(quotaMean) - spread*spread/2 + spread*q.rand.NormFloat64())
	return math.Round(min(max(8, tokens), quotaMost))
}

// ask lets one request in or counts its refusal.
func (q *run) ask(node int, tokens float64) {
	q.Asked++
	c := call.Call{ID: fmt.Sprint(q.Asked), Adapter: "a", Tenant: "t", Most: quotaMost}
	l := q.nodes[node]
	a, t := adapt.Adapter{Name: "a", Tokens: quotaTokens}, tenant.Tenant{Name: "t"}
	q.first(l, l.Unheard(q.sim.Clock(), a, t))
	refusal := l.Admit(q.sim.Clock(), c, a, t)
	if refusal != nil {
		q.Refused++
		if q.window()+q.flying+tokens <= quotaTokens {
			q.False++
		}
		return
	}
	q.flying += tokens
	q.sim.After(time.Duration(tokens)*quotaPace, func() {
		l.Settle(q.sim.Clock(), c, int(tokens))
		q.flying -= tokens
		q.spent = append(q.spent, spending{at: q.sim.Now(), tokens: tokens})
		q.Overshoot = max(q.Overshoot, q.window()/quotaTokens-1)
	})
}

// window returns the true use of the last minute.
func (q *run) window() float64 {
	sum := 0.0
	for i := len(q.spent) - 1; i >= 0 && q.sim.Now()-q.spent[i].at < time.Minute; i-- {
		sum += q.spent[i].tokens
	}
	return sum
}

// exchange lets every node ask what the others used.
func (q *run) exchange() {
	all := map[string]float64{}
	for _, l := range q.nodes {
		for key, used := range l.Used(q.sim.Clock()) {
			all[key] += used
		}
	}
	for _, l := range q.nodes {
		q.tell(l, all)
	}
}

// tell tells a node what the others used of all that was used.
func (q *run) tell(l *limit.Limit, all map[string]float64) {
	elsewhere := maps.Clone(all)
	own := l.Used(q.sim.Clock())
	for key := range elsewhere {
		elsewhere[key] -= own[key]
	}
	l.Learn(q.sim.Clock(), "home", true, elsewhere)
}

// first tells a node of the keys that it begins to use.
func (q *run) first(l *limit.Limit, keys []string) {
	all := map[string]float64{}
	for _, key := range keys {
		for _, from := range q.nodes {
			all[key] += from.Used(q.sim.Clock())[key]
		}
	}
	if len(keys) > 0 {
		q.tell(l, all)
	}
}

func (q *run) figures() Quota {
	served := 0.0
	for _, s := range q.spent {
		served += s.tokens
	}
	f := q.Quota
	f.Overshoot = round(f.Overshoot)
	f.Served = round(served / (min(1, f.Demand) * quotaTokens * quotaSpan.Minutes()))
	return f
}

// round keeps three digits after the point.
func round(x float64) float64 {
	return math.Round(x*1000) / 1000
}
