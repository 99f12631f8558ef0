package direct_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// A host loses its way to the upstreams, and the streams under way there break off. Blamed on the requests, those that come again would be refused everywhere
// as ones that crash upstreams.
func TestRequestOfAHostThatLostItsWayIsNotBlamed(t *testing.T) {
	for _, sound := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := silentBench(t, false)
			b.Blames = func(_ string, sent, failed time.Time, silent bool) bool {
				if !sent.Before(failed) || silent {
					t.Errorf("sent at %v and failed at %v, silent %v, want the failure later and a break", sent, failed, silent)
				}
				return sound
			}
			b.Do = sendsUntil(time.Second, errors.New("reset"))
			b.call(held)
			synctest.Wait()
			want := 0
			if sound {
				want = 1
			}
			if got := len(b.Blame.News()); got != want {
				t.Errorf("breaks recorded where the host was sound (%v) = %d, want %d", sound, got, want)
			}
		})
	}
}
