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

// knows is within which a host that waits for answers knows that it has lost its way, or found it again.
const knows = 1800 * time.Millisecond

// ups are upstreams of which some cannot be reached.
type ups struct {
	mu    sync.Mutex
	addrs []string
	down  map[string]error // what a dial fails with; a nil error hangs
	dials int
	told  []bool
}

func (u *ups) open(ctx context.Context, addr string) (net.Conn, error) {
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
	near, far := net.Pipe()
	far.Close()
	return near, nil
}

// set has just these upstreams fail.
func (u *ups) set(err error, addrs ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = map[string]error{}
	for _, addr := range addrs {
		u.down[addr] = err
	}
}

func (u *ups) opened() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dials
}

// play has a host watch four upstreams.
func play(t *testing.T, story func(t *testing.T, r *reach.Reach, u *ups)) {
	synctest.Test(t, func(t *testing.T) {
		u := &ups{addrs: []string{"a:1", "b:1", "c:1", "d:1"}}
		r := &reach.Reach{Open: u.open, Addrs: func() []string { return u.addrs }, Log: zap.NewNop()}
		r.Changed = func(cut bool) {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.told = append(u.told, cut)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		story(t, r, u)
	})
}

// A host loses its way to all upstreams while it waits for answers on connections that hang: nothing fails until requests are out of time.
func TestHostThatHearsNothingKnowsThatItHasLostItsWay(t *testing.T) {
	play(t, func(t *testing.T, r *reach.Reach, u *ups) {
		u.set(nil, u.addrs...)
		r.Sent("a:1")
		time.Sleep(knows)
		if r.Cut() == 0 {
			t.Errorf("Cut() = 0 after %v without a word from any upstream, want the time since", knows)
		}
		u.set(nil)
		time.Sleep(knows)
		if got := r.Cut(); got != 0 {
			t.Errorf("Cut() = %v after upstreams could be reached again, want 0", got)
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		if len(u.told) != 2 || !u.told[0] || u.told[1] {
			t.Errorf("told %v, want true and false", u.told)
		}
	})
}

// New connections are refused while those that there are live on: answers come, and no new request gets through.
func TestHostThatIsRefusedEverywhereKnowsThatItHasLostItsWay(t *testing.T) {
	play(t, func(t *testing.T, r *reach.Reach, u *ups) {
		u.set(syscall.ECONNREFUSED, u.addrs...)
		for _, addr := range u.addrs[:2] {
			if _, err := r.Dial(t.Context(), addr); err == nil {
				t.Errorf("Dial(%q) = nil, want an error", addr)
			}
			r.Heard(addr)
		}
		time.Sleep(knows)
		if r.Cut() == 0 {
			t.Error("Cut() = 0 where each upstream refuses, want the time since")
		}
	})
}

// Two of four upstreams crash. Taken for a host without a way, this one would send all its requests by others.
func TestLostUpstreamsAreNoLostWay(t *testing.T) {
	play(t, func(t *testing.T, r *reach.Reach, u *ups) {
		u.set(syscall.ECONNREFUSED, u.addrs[:2]...)
		for range 20 {
			for _, addr := range u.addrs[:2] {
				if _, err := r.Dial(t.Context(), addr); err == nil {
					t.Errorf("Dial(%q) = nil, want an error", addr)
				}
			}
			time.Sleep(100 * time.Millisecond)
			if got := r.Cut(); got != 0 {
				t.Fatalf("Cut() = %v with two of four upstreams lost, want 0", got)
			}
		}
		if _, lost := r.Lost(u.addrs[0]); !lost {
			t.Error("Lost() = false of an upstream that refuses, want true")
		}
		if _, lost := r.Lost(u.addrs[3]); lost {
			t.Error("Lost() = true of an upstream that was not missed, want false")
		}
	})
}

// A sound upstream is silent for a second. Nothing is lost, and it is not dialled again and again.
func TestSilenceOfASoundUpstreamIsNoLostWay(t *testing.T) {
	play(t, func(t *testing.T, r *reach.Reach, u *ups) {
		r.Sent("a:1")
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			if got := r.Cut(); got != 0 {
				t.Fatalf("Cut() = %v while an upstream is silent, want 0", got)
			}
		}
		if got, most := u.opened(), 6; got > most {
			t.Errorf("%d connections were tried in a second, want %d at most", got, most)
		}
	})
}

// One packet of a dial is lost, and another host opens the connection. Taken for a lost way, the engines there would be given up, and nobody could order them for
// seconds.
func TestOneFailedDialIsNoLostWay(t *testing.T) {
	play(t, func(t *testing.T, r *reach.Reach, u *ups) {
		u.set(nil, "a:1")
		if _, err := r.Dial(t.Context(), "a:1"); err == nil {
			t.Error("Dial() = nil, want an error")
		}
		r.Byway("a:1")
		if got := r.Blocked("a:1"); got != 0 {
			t.Errorf("Blocked() = %v after one dial that failed, want 0", got)
		}
		u.set(nil)
		time.Sleep(time.Second)
		if _, lost := r.Lost("a:1"); lost {
			t.Error("Lost() = true a second later, want false")
		}
	})
}

// A caller leaves before its answer comes, and nothing else is sent to that upstream for long. It must not be dialled each second for what nobody waits for.
func TestAnswerThatNobodyWaitsForIsNotLookedFor(t *testing.T) {
	play(t, func(t *testing.T, r *reach.Reach, u *ups) {
		r.Sent("a:1")
		time.Sleep(20 * time.Second)
		if got, most := u.opened(), 1; got > most {
			t.Errorf("%d connections were tried in 20 s, want %d at most", got, most)
		}
	})
}

// A host reaches all of one service's upstreams, over connections that it keeps, and none of another's. It has not lost its way: its orders go on where it
// reaches.
func TestHostThatReachesSomeHasNotLostItsWay(t *testing.T) {
	play(t, func(t *testing.T, r *reach.Reach, u *ups) {
		u.addrs = append(u.addrs, "e:1")
		u.set(nil, u.addrs[:4]...)
		for range 30 {
			for _, addr := range u.addrs[:4] {
				r.Sent(addr)
			}
			time.Sleep(100 * time.Millisecond)
			if got := r.Cut(); got != 0 {
				t.Fatalf("Cut() = %v of a host that reaches an upstream, want 0", got)
			}
		}
		if got := r.Blocked("a:1"); got != 0 {
			t.Errorf("Blocked() = %v of an upstream that nobody reaches, want 0", got)
		}
		r.Byway("a:1")
		time.Sleep(2 * time.Second)
		if got := r.Blocked("a:1"); got == 0 {
			t.Error("Blocked() = 0 of an upstream that another host reaches, want the time since it was missed")
		}
		u.set(nil)
		time.Sleep(time.Second)
		r.Retry(t.Context(), "a:1")
		time.Sleep(time.Second)
		if _, lost := r.Lost("a:1"); lost {
			t.Error("Lost() = true of an upstream that is reached again, want false")
		}
	})
}

// An upstream falls silent under a stream for longer than it is waited for, and goes on. Blamed for it, requests that meet three such moments would be
// refused everywhere as ones that crash upstreams; one that stays silent is to blame.
func TestUpstreamThatWasOnlySilentIsNotBlamed(t *testing.T) {
	play(t, func(t *testing.T, r *reach.Reach, _ *ups) {
		sent := time.Now()
		time.Sleep(1200 * time.Millisecond)
		failed := time.Now()
		go func() {
			time.Sleep(200 * time.Millisecond)
			r.Heard("a:1")
		}()
		if r.Blames("a:1", sent, failed, true) {
			t.Error("Blames() = true of an upstream that goes on, want false")
		}
		if !r.Blames("b:1", sent, time.Now(), true) {
			t.Error("Blames() = false of one that stays silent, want true")
		}
	})
}

// Connections break off as a host loses its way, before it knows that it has.
func TestUpstreamsAreNotBlamedForALostWay(t *testing.T) {
	play(t, func(t *testing.T, r *reach.Reach, u *ups) {
		u.set(nil, u.addrs...)
		sent := time.Now()
		for _, addr := range u.addrs {
			r.Sent(addr)
		}
		time.Sleep(100 * time.Millisecond)
		if r.Blames("a:1", sent, time.Now(), false) {
			t.Error("Blames() = true of an upstream to which this host lost its way, want false")
		}
		u.set(nil)
		time.Sleep(knows)
		r.Heard("a:1")
		if r.Blames("a:1", sent, time.Now(), false) {
			t.Error("Blames() = true under a request that was sent before the way was lost, want false")
		}
	})
}
