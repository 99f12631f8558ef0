// Package policy names the variants of placement, eviction and loading that the bench compares.
package policy

import "time"

// Policy says which ways of deciding a variant uses.
type Policy struct {
	Name   string
	Near   bool          // route to where the model is resident; otherwise to the least loaded runner
	Demand bool          // evict by decayed demand; otherwise the least recently used model
	Empty  time.Duration // cost of a request that has a batch to itself at a stall weight of 0; without it the least loaded among equals is chosen
	Room   int           // places of a batch that are left to requests the digests do not show yet
	Copies bool          // know the demand and the copies of the whole site when choosing what to unload and where
	Hurry  bool          // send requests with a close deadline to emptier batches, whose steps are shorter
	Urgent bool          // the weight store serves the most urgent load first; otherwise the oldest
}

// Current returns the policy that nodes use.
func Current() Policy {
	all := Variants()
	return all[len(all)-1]
}

// Variants returns the baseline, then every earlier policy, then the current one.
func Variants() []Policy {
	return []Policy{
		{Name: "baseline"},
		{Name: "near", Near: true},
		{Name: "demand", Near: true, Demand: true, Urgent: true},
		{Name: "pack", Near: true, Demand: true, Urgent: true, Empty: 200 * time.Millisecond},
		{Name: "room", Near: true, Demand: true, Urgent: true, Empty: 200 * time.Millisecond, Room: 2},
		{Name: "copies", Near: true, Demand: true, Urgent: true, Empty: 200 * time.Millisecond, Room: 2, Copies: true},
		{Name: "hurry", Near: true, Demand: true, Urgent: true, Empty: 400 * time.Millisecond, Room: 2, Copies: true, Hurry: true},
	}
}
