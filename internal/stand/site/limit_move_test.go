package site_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/site"
)

const (
	moveNodes = 4
	moveRate  = 60 // requests a minute
	movePause = 100 * time.Millisecond
	moveTurn  = time.Minute // between the ends of two nodes
	// moveMost is the bound: one request a node, and what the killed node used itself, of which a node that begins after it
	// does not learn where the killed one was the home.
	moveMost = moveRate + moveNodes + moveRate/moveNodes
)

// One node gathers what all nodes used of a limit, and it is killed. Until its session has ended nobody answers; the next
// home knows nothing yet, and of the former's own use it never learns. Nodes that took what they are told for all there is
// would let the limit through again, and callers of a limited tenant would crowd out the others'.
func TestLimitHoldsWhileHomesMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := site.NewSite(1, moveNodes)
		if err := s.Start(ctx, 2); err != nil {
			t.Fatal(err)
		}
		limitAdapter(ctx, t, s, moveRate)
		for i := range moveNodes {
			s.StartNode(ctx, i)
		}
		time.Sleep(settle)
		var served []time.Time
		for n := range int(moveNodes * moveTurn / movePause) {
			switch turn := time.Duration(n) * movePause; turn % moveTurn {
			case moveTurn / 6: // every node is killed once, so that the home of the adapter is among them
				s.KillNode(int(turn / moveTurn))
			case moveTurn / 2:
				s.StartNode(ctx, int(turn/moveTurn))
			}
			status, _, _, err := s.Complete(ctx, n%moveNodes, model, "pour schedule", 2, nil)
			if err == nil && status == http.StatusOK {
				served = append(served, time.Now())
			}
			time.Sleep(movePause)
		}
		most := 0
		for i, first := range served {
			k := i
			for k < len(served) && served[k].Sub(first) < time.Minute {
				k++
			}
			most = max(most, k-i)
		}
		t.Logf("served %d in all, at most %d in a minute", len(served), most)
		if most > moveMost {
			t.Errorf("served %d requests in a minute, want at most %d", most, moveMost)
		}
		if least := moveNodes * moveRate / 2; len(served) < least {
			t.Errorf("served %d requests in all, want at least %d", len(served), least)
		}
		cancel()
		for i := range moveNodes {
			s.Wait(i)
		}
		time.Sleep(settle)
	})
}
