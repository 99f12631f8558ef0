// Package policy names the variants of placement, eviction and loading that the bench compares.
package policy

// Policy says which ways of deciding a variant uses.
type Policy struct {
	Name   string
	Near   bool // route to where the model is resident; otherwise to the least loaded runner
	Demand bool // evict by decayed demand; otherwise the least recently used model
	Pack   bool // prefer fuller batches as far as the setting Stall leaves room; otherwise the least loaded among equals
	Room   int  // places of a batch that are left to requests the digests do not show yet
	Copies bool // know the demand and the copies of the whole site when choosing what to unload and where
	Urgent bool // the weight store serves the most urgent load first; otherwise the oldest
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
		{Name: "pack", Near: true, Demand: true, Urgent: true, Pack: true},
		{Name: "room", Near: true, Demand: true, Urgent: true, Pack: true, Room: 2},
		{Name: "copies", Near: true, Demand: true, Urgent: true, Pack: true, Room: 2, Copies: true},
	}
}
