package proxy_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// A host's network to the upstreams fails, and its streams break off. If they were blamed, the requests would be refused
// everywhere as ones that crash upstreams.
func TestRequestIsNotBlamedForItsHostsLostConnections(t *testing.T) {
	for _, sound := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newHolderBench(t, false)
			b.Guard.IsToBlame = func(_ string, sent, failed time.Time, silent bool) bool {
				if !sent.Before(failed) || silent {
					t.Errorf("sent at %v and failed at %v, silent %v, want the failure later and a break", sent, failed, silent)
				}
				return sound
			}
			b.Send = sendsUntil(time.Second, errors.New("reset"))
			b.call(adapterRequest)
			synctest.Wait()
			want := 0
			if sound {
				want = 1
			}
			if got := b.takeBreaks(); got != want {
				t.Errorf("breaks recorded where the host was sound (%v) = %d, want %d", sound, got, want)
			}
		})
	}
}
