package share_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/digest"
	"damaskreach/internal/peer"
	"damaskreach/internal/share"
	"damaskreach/internal/stand/memnet"
)

const (
	hostA = "10.0.0.1"
	hostB = "10.0.0.2"
	hostC = "10.0.0.3"
	addrB = hostB + ":7000"
	pause = 100 * time.Millisecond
)

// receiver counts the digests that a node receives; a new life stands for a new process.
type receiver struct {
	mu    sync.Mutex
	life  string
	taken int
}

func (r *receiver) setLife(life string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life = life
}

func (r *receiver) getLife() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life
}

func (r *receiver) learn(digests []digest.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken += len(digests)
}

// count returns how many digests arrived since the last call.
func (r *receiver) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.taken
	r.taken = 0
	return taken
}

// A node is replaced by a new process at the same address. If the sender kept sending only changes, the new process would
// refuse requests since it knows no runner for their adapters.
func TestReplacedPeerGetsEveryDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := memnet.NewNet(1)
		b := &receiver{life: "first"}
		serve(ctx, t, n, b)
		a := newShare(n, hostA, func() string { return "a" }, func([]digest.Digest) {})
		digests := []digest.Digest{{Runner: "r1", Running: 1, Number: 1}, {Runner: "r2", Number: 1}}
		send := func(what string, want int) {
			t.Helper()
			a.Send(ctx, slices.Clone(digests))
			time.Sleep(pause)
			if got := b.count(); got != want {
				t.Errorf("%s: got %d digests, want %d", what, got, want)
			}
		}
		send("at first", 2)
		digests[0].Number++
		send("unchanged but for its number", 0)
		digests[0].Free++
		send("one changed", 1)
		b.setLife("second")
		digests[1].Free++
		send("one changed, to another process", 1)
		send("after its answer", 2)
		cancel()
		time.Sleep(time.Minute) // lets connections end
	})
}

// Counters change many times a second. Sent each time, they would dominate the traffic between nodes; never sent, homes would
// use wrong ones; and a full batch or a resident model reported late would send requests to the wrong runner.
func TestCounterChangesAreSentOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := memnet.NewNet(1)
		b := &receiver{life: "first"}
		serve(ctx, t, n, b)
		a := newShare(n, hostA, func() string { return "a" }, func([]digest.Digest) {})
		d := digest.Digest{Runner: "r1", Slots: 4, Free: 0, Idle: 2, Batch: 8, Running: 1, Waiting: 1, Number: 1}
		send := func(what string, want int, change func()) {
			t.Helper()
			change()
			d.Number++
			a.Send(ctx, []digest.Digest{d})
			time.Sleep(pause)
			if got := b.count(); got != want {
				t.Errorf("%s: got %d digests, want %d", what, got, want)
			}
		}
		send("at first", 1, func() {})
		for range 8 {
			send("within a second", 0, func() { d.Running = 2 + d.Running%5; d.Waiting++ })
		}
		time.Sleep(2 * pause)
		send("a second later", 1, func() {})
		send("the batch is full", 1, func() { d.Running = 8 })
		send("it has a place again", 1, func() { d.Running = 7 })
		send("nothing waits", 1, func() { d.Waiting = 0 })
		send("no slot can be had", 1, func() { d.Idle = 0 })
		send("a slot is free", 1, func() { d.Free = 1 })
		send("a model in use beside a free slot", 0, func() { d.Idle = 1 })
		send("a model is resident", 1, func() { d.Resident = []string{"m@v1"} })
		send("a model is loading", 1, func() { d.Loading = []string{"n@v1"} })
		send("closed", 1, func() { d.Closed = true })
		send("sick", 1, func() { d.Sick = true })
		cancel()
		time.Sleep(time.Minute) // lets connections end
	})
}

func serve(ctx context.Context, t *testing.T, n *memnet.Net, r *receiver) {
	t.Helper()
	s := newShare(n, hostB, r.getLife, r.learn)
	lis, err := n.Listen(addrB)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Mesh.Serve(ctx, lis) }() // ends with ctx
}

func newShare(n *memnet.Net, host string, self func() string, learn func([]digest.Digest)) *share.Share {
	mesh := peer.NewMesh(host, [][]byte{[]byte("a shared key")}, n.Dial(host), zap.NewNop())
	s := &share.Share{
		Mesh: mesh, Life: self, Peers: func() []string { return []string{addrB} },
		OnDigests: learn, OwnDigests: func() []digest.Digest { return nil },
	}
	s.Register()
	return s
}

// A new node isn't listed by the owners yet, so it receives no digests unless it asks. One owner is out of reach. Fetch must return
// what the other owns and not wait for the lost one beyond its context.
func TestFetchSkipsUnreachablePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := memnet.NewNet(1)
		owner := newShare(n, hostB, func() string { return "b" }, func([]digest.Digest) {})
		owner.OwnDigests = func() []digest.Digest { return []digest.Digest{{Runner: "r1"}, {Runner: "r2"}} }
		lis, err := n.Listen(addrB)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = owner.Mesh.Serve(ctx, lis) }() // ends with ctx
		n.Cut(hostA, hostC)
		taken := &receiver{}
		a := newShare(n, hostA, func() string { return "a" }, taken.learn)
		limit, end := context.WithTimeout(ctx, pause)
		defer end()
		begin := time.Now()
		a.Fetch(limit, []string{hostC + ":7000", addrB})
		if got, maxTime := time.Since(begin), 2*pause; got > maxTime {
			t.Errorf("got the answer after %s, want at most %s", got, maxTime)
		}
		if got, want := taken.count(), 2; got != want {
			t.Errorf("got %d digests, want %d", got, want)
		}
		cancel()
		time.Sleep(time.Minute) // lets connections end
	})
}
