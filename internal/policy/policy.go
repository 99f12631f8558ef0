// Package policy names the variants of placement, eviction and loading that the bench compares.
package policy

import "time"

// Policy says which ways of deciding a variant uses.
type Policy struct {
	Name   string
	Near   bool          // route to where the model is resident; otherwise to the least loaded runner
	Demand bool          // evict by decayed demand; otherwise the least recently used model
	Urgent bool          // the weight store serves the most urgent load first; otherwise the oldest
	Empty  time.Duration // cost of a request that has a batch to itself at a stall weight of 0; without it the least loaded among equals is chosen
	Room   int           // places of a batch that are left to requests the digests do not show yet
	Copies bool          // know the demand and the copies of the whole site when choosing what to unload and where
	Hurry  bool          // send requests with a close deadline to emptier batches, whose steps are shorter
	Square bool          // let the cost of an empty batch fall with the square of 1 - Stall instead of in proportion
	Ahead  bool          // load models of known demand that nobody has resident into free slots
	Exact  bool          // leave refusals for full queues to the owners, who know them to the request and shed by fair share
}

// Current returns the policy that nodes use.
func Current() Policy {
	all := Variants()
	return all[len(all)-1]
}

// Variants returns the baseline, then every earlier policy, then the current one. Each adds to the one before.
func Variants() []Policy {
	all := []Policy{{Name: "baseline"}}
	add := func(name string, change func(p *Policy)) {
		next := all[len(all)-1]
		next.Name = name
		change(&next)
		all = append(all, next)
	}
	add("near", func(p *Policy) { p.Near = true })
	add("demand", func(p *Policy) { p.Demand, p.Urgent = true, true })
	add("pack", func(p *Policy) { p.Empty = 200 * time.Millisecond })
	add("room", func(p *Policy) { p.Room = 2 })
	add("copies", func(p *Policy) { p.Copies = true })
	add("hurry", func(p *Policy) { p.Hurry, p.Empty = true, 400*time.Millisecond })
	add("exact", func(p *Policy) { p.Exact = true })
	add("ahead", func(p *Policy) { p.Ahead = true })
	add("square", func(p *Policy) { p.Square, p.Empty = true, time.Second })
	return all
}
