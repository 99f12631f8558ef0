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
			b.Sound = func(sent, failed time.Time) bool {
				if !sent.Before(failed) {
					t.Errorf("sent at %v and failed at %v, want the failure later", sent, failed)
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
