package reach_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/reach"
)

// detectionTime is within which a host that waits for answers detects that it is cut off, or no longer is.
const detectionTime = 1800 * time.Millisecond

// upstreams are fake upstreams, some of which cannot be reached.
type upstreams struct {
	mu      sync.Mutex
	addrs   []string
	down    map[string]error // errors of dials, by address; a nil error hangs
	dials   int
	changes []bool
}

func (u *upstreams) open(ctx context.Context, addr string) (net.Conn, error) {
	u.mu.Lock()
	err, down := u.down[addr]
	u.dials++
	u.mu.Unlock()
	if down && err == nil {
		<-ctx.Done()
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	conn, peer := net.Pipe()
	peer.Close()
	return conn, nil
}

// set has dials of just these upstreams fail.
func (u *upstreams) set(err error, addrs ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = map[string]error{}
	for _, addr := range addrs {
		u.down[addr] = err
	}
}

func (u *upstreams) opened() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dials
}

// runWatch runs a test with a host that watches four upstreams.
func runWatch(t *testing.T, body func(t *testing.T, r *reach.Reach, u *upstreams)) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{addrs: []string{"a:1", "b:1", "c:1", "d:1"}}
		r := &reach.Reach{Open: u.open, Addrs: func() []string { return u.addrs }, Log: zap.NewNop()}
		r.Changed = func(cut bool) {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.changes = append(u.changes, cut)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		body(t, r, u)
	})
}

// A host is cut off while it waits for answers on connections that hang, so nothing fails until requests time out.
func TestHostWithSilentUpstreamsKnowsThatItIsCutOff(t *testing.T) {
	runWatch(t, func(t *testing.T, r *reach.Reach, u *upstreams) {
		u.set(nil, u.addrs...)
		r.Sent("a:1")
		time.Sleep(detectionTime)
		if r.CutFor() == 0 {
			t.Errorf("CutFor() = 0 after %v without anything from any upstream, want the time since", detectionTime)
		}
		u.set(nil)
		time.Sleep(detectionTime)
		if got := r.CutFor(); got != 0 {
			t.Errorf("CutFor() = %v after upstreams could be reached again, want 0", got)
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		if len(u.changes) != 2 || !u.changes[0] || u.changes[1] {
			t.Errorf("changes = %v, want true and false", u.changes)
		}
	})
}

// New connections are refused while existing ones still work: answers come, but no new request gets through.
func TestHostThatIsRefusedEverywhereKnowsThatItIsCutOff(t *testing.T) {
	runWatch(t, func(t *testing.T, r *reach.Reach, u *upstreams) {
		u.set(syscall.ECONNREFUSED, u.addrs...)
		for _, addr := range u.addrs[:2] {
			if _, err := r.Dial(t.Context(), addr); err == nil {
				t.Errorf("Dial(%q) = nil, want an error", addr)
			}
			r.Received(addr)
		}
		time.Sleep(detectionTime)
		if r.CutFor() == 0 {
			t.Error("CutFor() = 0 where each upstream refuses, want the time since")
		}
	})
}

// Two of four upstreams crash. If the host took itself for cut off, it would send all its requests through other hosts.
func TestHostIsNotCutOffByLostUpstreams(t *testing.T) {
	runWatch(t, func(t *testing.T, r *reach.Reach, u *upstreams) {
		u.set(syscall.ECONNREFUSED, u.addrs[:2]...)
		for range 20 {
			for _, addr := range u.addrs[:2] {
				if _, err := r.Dial(t.Context(), addr); err == nil {
					t.Errorf("Dial(%q) = nil, want an error", addr)
				}
			}
			time.Sleep(100 * time.Millisecond)
			if got := r.CutFor(); got != 0 {
				t.Fatalf("CutFor() = %v with two of four upstreams lost, want 0", got)
			}
		}
		if _, lost := r.Unreachable(u.addrs[0]); !lost {
			t.Error("Unreachable() = false of an upstream that refuses, want true")
		}
		if _, lost := r.Unreachable(u.addrs[3]); lost {
			t.Error("Unreachable() = true of an upstream that was not missed, want false")
		}
	})
}

// A healthy upstream is silent for a second. That is no outage, and it must not be dialled again and again.
func TestHostIsNotCutOffByASilentUpstream(t *testing.T) {
	runWatch(t, func(t *testing.T, r *reach.Reach, u *upstreams) {
		r.Sent("a:1")
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			if got := r.CutFor(); got != 0 {
				t.Fatalf("CutFor() = %v while an upstream is silent, want 0", got)
			}
		}
		if got, limit := u.opened(), 6; got > limit {
			t.Errorf("%d connections were tried in a second, want %d at most", got, limit)
		}
	})
}

// One packet of a dial is lost, and another host opens the connection. If the upstream counted as blocked, this host would give
// up its engines there, and they would have no owner for seconds.
func TestOneFailedDialDoesNotBlockAnUpstream(t *testing.T) {
	runWatch(t, func(t *testing.T, r *reach.Reach, u *upstreams) {
		u.set(nil, "a:1")
		if _, err := r.Dial(t.Context(), "a:1"); err == nil {
			t.Error("Dial() = nil, want an error")
		}
		r.ReachedByOther("a:1")
		if got := r.Blocked("a:1"); got != 0 {
			t.Errorf("Blocked() = %v after one dial that failed, want 0", got)
		}
		u.set(nil)
		time.Sleep(time.Second)
		if _, lost := r.Unreachable("a:1"); lost {
			t.Error("Unreachable() = true a second later, want false")
		}
	})
}

// A caller leaves before its answer comes, and nothing else is sent to the upstream. It must not be dialled each second for an
// answer that nobody awaits.
func TestAbandonedRequestCausesNoFurtherDials(t *testing.T) {
	runWatch(t, func(t *testing.T, r *reach.Reach, u *upstreams) {
		r.Sent("a:1")
		time.Sleep(20 * time.Second)
		if got, limit := u.opened(), 1; got > limit {
			t.Errorf("%d connections were tried in 20 s, want %d at most", got, limit)
		}
	})
}

// A host reaches all upstreams of one group, over existing connections, and none of another group. It is not cut off, and keeps
// its engines in the first.
func TestHostThatReachesSomeUpstreamsIsNotCutOff(t *testing.T) {
	runWatch(t, func(t *testing.T, r *reach.Reach, u *upstreams) {
		u.addrs = append(u.addrs, "e:1")
		u.set(nil, u.addrs[:4]...)
		for range 30 {
			for _, addr := range u.addrs[:4] {
				r.Sent(addr)
			}
			time.Sleep(100 * time.Millisecond)
			if got := r.CutFor(); got != 0 {
				t.Fatalf("CutFor() = %v of a host that reaches an upstream, want 0", got)
			}
		}
		if got := r.Blocked("a:1"); got != 0 {
			t.Errorf("Blocked() = %v of an upstream that nobody reaches, want 0", got)
		}
		r.ReachedByOther("a:1")
		time.Sleep(2 * time.Second)
		if got := r.Blocked("a:1"); got == 0 {
			t.Error("Blocked() = 0 of an upstream that another host reaches, want the time since it was missed")
		}
		u.set(nil)
		time.Sleep(time.Second)
		r.Retry(t.Context(), "a:1")
		time.Sleep(time.Second)
		if _, lost := r.Unreachable("a:1"); lost {
			t.Error("Unreachable() = true of an upstream that is reached again, want false")
		}
	})
}

// An upstream pauses a stream for longer than the host waits, and then resumes. If it were blamed, requests that meet three
// such pauses would be blocked as ones that crash upstreams. An upstream that stays silent is to blame.
func TestUpstreamThatWasOnlySilentIsNotToBlame(t *testing.T) {
	runWatch(t, func(t *testing.T, r *reach.Reach, _ *upstreams) {
		sent := time.Now()
		time.Sleep(1200 * time.Millisecond)
		failed := time.Now()
		go func() {
			time.Sleep(200 * time.Millisecond)
			r.Received("a:1")
		}()
		if r.IsToBlame("a:1", sent, failed, true) {
			t.Error("IsToBlame() = true of an upstream that goes on, want false")
		}
		if !r.IsToBlame("b:1", sent, time.Now(), true) {
			t.Error("IsToBlame() = false of one that stays silent, want true")
		}
	})
}

// A host is cut off and its connections break before it has detected that.
func TestUpstreamsAreNotToBlameWhileTheHostIsCutOff(t *testing.T) {
	runWatch(t, func(t *testing.T, r *reach.Reach, u *upstreams) {
		u.set(nil, u.addrs...)
		sent := time.Now()
		for _, addr := range u.addrs {
			r.Sent(addr)
		}
		time.Sleep(100 * time.Millisecond)
		if r.IsToBlame("a:1", sent, time.Now(), false) {
			t.Error("IsToBlame() = true while this host was cut off, want false")
		}
		u.set(nil)
		time.Sleep(detectionTime)
		r.Received("a:1")
		if r.IsToBlame("a:1", sent, time.Now(), false) {
			t.Error("IsToBlame() = true for a request sent before the host was cut off, want false")
		}
	})
}
