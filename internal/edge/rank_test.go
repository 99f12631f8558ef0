//go:build !race

package edge_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/team"
)

// ranked are two teams, of which one is more urgent than the other, and one without a rank.
func ranked(int64) []team.Team {
	return []team.Team{{Name: "first", Ranked: true}, {Name: "second", Ranked: true, Rank: 2}, {Name: "plain"}}
}

// Three teams ask for far more than the engines can do. The hosts decide which requests run, the more urgent first; engines must have no queue of
// their own, or requests would run in an order that nobody decided.
func TestRankIsKeptWhereEnginesAreShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFarm(t, scaleHosts, scaleEngines, ranked)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		for i, one := range ranked(1) {
			f.demand(ctx, uint64(i), one.Name, 35, scaleAdapters)
		}
		time.Sleep(12 * time.Second)
		cancel()
		time.Sleep(4 * time.Second)
		f.wantWhole()
		f.wantRanks("first", "second")
		f.wantNoQueue()
	})
}

// wantRanks checks that a team was served in time no less often than a less urgent one.
func (f *farm) wantRanks(first, second string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	inTime, asked := map[string]int{}, map[string]int{}
	for _, s := range f.streamed {
		asked[s.team]++
		if !s.refused() && s.first <= farmGoal {
			inTime[s.team]++
		}
	}
	f.t.Logf("in time %v of %v", inTime, asked)
	if inTime[first]*asked[second] < inTime[second]*asked[first] {
		f.t.Errorf("team %s was served %d of %d requests in time, the less urgent team %s %d of %d", first, inTime[first], asked[first], second, inTime[second], asked[second])
	}
}

// wantNoQueue checks that hardly any request came to an engine that ran as many as it can.
func (f *farm) wantNoQueue() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	queued := 0
	for _, c := range f.came {
		if c.beside >= farmSlots {
			queued++
		}
	}
	f.t.Logf("%d of %d requests came to an engine with all slots taken", queued, len(f.came))
	if 100*queued > len(f.came) {
		f.t.Errorf("%d of %d requests came to an engine that ran as many as it can, want one in a hundred at most", queued, len(f.came))
	}
}
