//go:build !race

package edge_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/team"
)

// rankedTeams returns two teams of different rank and one without a rank.
func rankedTeams(int64) []team.Team {
	return []team.Team{{Name: "first", Ranked: true}, {Name: "second", Ranked: true, Rank: 2}, {Name: "plain"}}
}

// Three teams ask for far more than the engines can run. Hosts decide which requests run, by rank; if requests queued at the engines, they
// would run in an order that nobody chose.
func TestRankIsKeptWhenEnginesAreOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFarm(t, scaleHosts, scaleEngines, rankedTeams)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		for i, one := range rankedTeams(1) {
			f.generateDemand(ctx, uint64(i), one.Name, 35, scaleAdapters)
		}
		time.Sleep(12 * time.Second)
		cancel()
		time.Sleep(4 * time.Second)
		f.wantAnsweredOrRefused()
		f.wantRankOrder("first", "second")
		f.wantNoQueue()
	})
}

// wantRankOrder checks that a team was served in time at least as often as a less urgent one.
func (f *farm) wantRankOrder(first, second string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	inTime, asked := map[string]int{}, map[string]int{}
	for _, s := range f.streams {
		asked[s.team]++
		if !s.refused() && s.firstEvent <= farmLatencyTarget {
			inTime[s.team]++
		}
	}
	f.t.Logf("in time %v of %v", inTime, asked)
	if inTime[first]*asked[second] < inTime[second]*asked[first] {
		f.t.Errorf("team %s was served %d of %d requests in time, the less urgent team %s %d of %d",
			first, inTime[first], asked[first], second, inTime[second], asked[second])
	}
}

// wantNoQueue checks that hardly any request came to an engine with all slots taken.
func (f *farm) wantNoQueue() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	queued := 0
	for _, c := range f.arrivals {
		if c.concurrent >= farmSlots {
			queued++
		}
	}
	f.t.Logf("%d of %d requests came to an engine with all slots taken", queued, len(f.arrivals))
	if 100*queued > len(f.arrivals) {
		f.t.Errorf("%d of %d requests came to an engine that ran as many as it can, want one in a hundred at most", queued, len(f.arrivals))
	}
}
