package peer_test

import (
	"testing"
	"testing/synctest"

	"damaskreach/internal/bounds"
)

// Somebody opens connections to the port for other nodes and says nothing. Kept for the time of a handshake, they would take the descriptors of the process; a node that
// comes meanwhile must get through.
func TestSilentConnectionsMakeWay(t *testing.T) {
	const silent, most = 50, 8
	synctest.Test(t, func(t *testing.T) {
		n := newNet()
		b := newMesh(n, "b").WithBounds(bounds.NewBounds().WithPending(most))
		defer serve(t, b, listen(t, n, addrB))()
		for range silent {
			c, err := n.Dial(hostA)(t.Context(), addrB)
			if err != nil {
				t.Fatalf("dial: %v", err)
			}
			defer c.Close()
		}
		synctest.Wait()
		if got, want := n.Ends(), 2*most+silent-most; got > want {
			t.Errorf("%d ends are open, want %d at most", got, want)
		}
		a := newMesh(n, "a")
		defer a.Close()
		wantName(t, a, "", addrB, "b")
	})
}
