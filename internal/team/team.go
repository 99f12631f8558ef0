// Package team holds what operators say of one team: how urgent its requests are, and how much it may ask for.
package team

// Team is immutable. The zero value stands for callers of no team: they have no limit.
type Team struct {
	Name   string
	Ranked bool // Rank goes before the rank of a route
	Rank   int  // 0 is the most urgent
	Tokens bool // units are tokens; else each request is one unit
	Plain  int  // units of a request that states no tokens, where units are tokens
	Rate   float64
	Burst  float64
	Weight float64 // beside other teams where room is short; 0 counts as 1
}

// Limited reports whether the team has a limit: Rate units a second over all hosts, and Burst units at once.
func (t Team) Limited() bool {
	return t.Rate > 0 || t.Burst > 0
}

// Units returns what a request counts against the limit, by the tokens of its prompt and the most that its answer may have.
func (t Team) Units(prompt, most int) float64 {
	switch {
	case !t.Tokens:
		return 1
	case prompt+most <= 0:
		return float64(t.Plain)
	}
	return float64(prompt + most)
}
