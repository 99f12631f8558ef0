//go:build !race

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
)

// answers are those that callers got, in their order.
type answers []answered

type answered struct {
	at   time.Time
	node int
}

// recent returns how many of the last minute came through a node.
func (a answers) recent(node int) int {
	count := 0
	for _, one := range a {
		if one.node == node && time.Since(one.at) < time.Minute {
			count++
		}
	}
	return count
}

// most returns the most in any minute.
func (a answers) most() int {
	most := 0
	for i, first := range a {
		k := i
		for k < len(a) && a[k].at.Sub(first.at) < time.Minute {
			k++
		}
		most = max(most, k-i)
	}
	return most
}

// One node gathers what all nodes used of a limit, and it is killed. Until its session has ended nobody answers; the next
// home knows nothing yet, and of the former's own use it never learns. Nodes that took what they are told for all there is
// would let the limit through again, and callers of a limited tenant would crowd out the others'. The bound is one request
// for each life of a node in that minute, and what the killed node used itself: one that begins after it may not learn of that.
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
		var served answers
		lost := 0 // the most that a killed node had used itself
		for n := range int(moveNodes * moveTurn / movePause) {
			switch turn := time.Duration(n) * movePause; turn % moveTurn {
			case moveTurn / 6: // every node is killed once, so that the home of the adapter is among them
				lost = max(lost, served.recent(int(turn/moveTurn)))
				s.KillNode(int(turn / moveTurn))
			case moveTurn / 2:
				s.StartNode(ctx, int(turn/moveTurn))
			}
			status, _, _, err := s.Complete(ctx, n%moveNodes, model, "pour schedule", 2, nil)
			if err == nil && status == http.StatusOK {
				served = append(served, answered{time.Now(), n % moveNodes})
			}
			time.Sleep(movePause)
		}
		t.Logf("served %d in all, at most %d in a minute; a killed node at most %d", len(served), served.most(), lost)
		if got, want := served.most(), moveRate+moveNodes+1+lost; got > want {
			t.Errorf("served %d requests in a minute, want at most %d", got, want)
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
