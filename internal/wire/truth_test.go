package wire_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/bounds"
	"damaskreach/internal/strm"
	"damaskreach/internal/wire"
	"damaskreach/pkg/verd"
)

// brittle breaks after so many bytes, in the middle of whatever is being written.
type brittle struct {
	net.Conn
	left int
}

func (b *brittle) Write(p []byte) (int, error) {
	if len(p) <= b.left {
		b.left -= len(p)
		return b.Conn.Write(p)
	}
	n, _ := b.Conn.Write(p[:b.left])
	b.left = 0
	b.Conn.Close()
	return n, io.ErrClosedPipe
}

// trial is one run of many requests over a connection that ends at a random moment.
type trial struct {
	random *rand.Rand
	wait   sync.WaitGroup

	mu    sync.Mutex
	began map[int]bool // requests whose handler read its question
	told  map[int]error
}

func (r *trial) serve(s *strm.Stream, _ string) error {
	var q []int
	if err := s.Recv(s.Context(), &q); err != nil {
		return err
	}
	r.mu.Lock()
	r.began[q[0]] = true
	pause := time.Duration(r.random.IntN(20)) * time.Millisecond
	r.mu.Unlock()
	time.Sleep(pause)
	return s.SendLast(s.Context(), q[0])
}

// ask sends one request with a body and a deadline of its own after a pause.
func (r *trial) ask(c *wire.Conn, id, size int, pause, patience time.Duration) {
	time.Sleep(pause)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s, err := c.Open(ctx, "method", append([]int{id}, make([]int, size)...), true)
	if err == nil {
		err = s.Recv(ctx, new(int))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[id] = err
}

func (r *trial) run(t *testing.T) {
	near, far := net.Pipe()
	dialling := &brittle{near, 600 + r.random.IntN(8000)}
	accepting := &brittle{far, 600 + r.random.IntN(2000)}
	c, accepted := connect(t, dialling, accepting, bounds.NewBounds(), r.serve)
	closing := time.Duration(r.random.IntN(100)) * time.Millisecond
	r.mu.Lock()
	for id := range 50 {
		pause := time.Duration(r.random.IntN(50)) * time.Millisecond
		patience := time.Duration(r.random.IntN(60)) * time.Millisecond
		size := r.random.IntN(200)
		r.wait.Go(func() { r.ask(c, id, size, pause, patience) })
	}
	r.mu.Unlock()
	time.Sleep(closing)
	accepted.Close()
	r.wait.Wait()
	accepted.Wait()
}

// A connection breaks in the middle of a frame, or its node shuts down, while requests are sent, run and given up. A
// caller that is told not-run sends its request elsewhere: if it had run here, two trucks would come.
func TestNotRunNeverRan(t *testing.T) {
	counts := make(map[string]int)
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			r := &trial{random: rand.New(rand.NewPCG(seed, 0)), began: make(map[int]bool), told: make(map[int]error)}
			r.run(t)
			for id, err := range r.told {
				switch {
				case err == nil && !r.began[id]:
					t.Errorf("seed %d: request %d was answered and never ran", seed, id)
				case err != nil && verd.Of(err) == verd.NotRun && r.began[id]:
					t.Errorf("seed %d: request %d ran, told %v", seed, id, err)
				case err == nil:
					counts["answered"]++
				default:
					counts[verd.Of(err).String()]++
				}
			}
		})
	}
	t.Logf("%v", counts)
	for _, outcome := range []string{"answered", verd.NotRun.String(), verd.MayHaveRun.String()} {
		if counts[outcome] == 0 {
			t.Errorf("no request was %s: the trials do not cover it", outcome)
		}
	}
}
