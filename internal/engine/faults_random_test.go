package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/engine"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/recrd"
	"damaskreach/pkg/verd"
)

const (
	seeds       = 15
	attempts    = 60 // per seed
	spanSeconds = 30 // period over which the attempts are spread
)

// Crashes, freezes, broken connections, network partitions that heal with data of abandoned calls in transit,
// and caller timeouts occur in random order. The verdict of each error must agree with the engine's records:
// a request that ran but is reported as not run would be retried and run twice.
func TestVerdictsAgreeWithTheEngineUnderFaults(t *testing.T) {
	total := map[string]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			for verdict, n := range runSeed(t, seed) {
				total[verdict] += n
			}
		})
	}
	t.Logf("attempts by outcome: %v", total)
	for _, outcome := range []string{"whole", "not-run", "may-have-run and ran", "may-have-run and did not"} {
		if total[outcome] == 0 {
			t.Errorf("no attempt ended %s: the faults no longer reach that case", outcome)
		}
	}
}

// breakableConns tracks the client's connections, so that cut can close them all.
type breakableConns struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)
	mu   sync.Mutex
	all  []net.Conn
}

func (l *breakableConns) open(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := l.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, conn)
	return conn, nil
}

func (l *breakableConns) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.all {
		conn.Close()
	}
	l.all = nil
}

// runSeed makes the attempts of one seed and returns the number of attempts per outcome.
func runSeed(t *testing.T, seed uint64) map[string]int {
	random := rand.New(rand.NewPCG(seed, 0))
	network := memnet.NewNet(int64(seed))
	network.SetLinger(true)
	e := engsim.NewEngine()
	e.Restart = time.Second
	links := &breakableConns{dial: network.Dial(caller)}
	client := engine.NewEngine(addr, links.open)
	t.Cleanup(client.Close)
	run(t, network, e)
	load(t, client, model)
	host, _, _ := net.SplitHostPort(addr)
	injectFaults(t.Context(), random.Int64(), network, host, e, links)
	answers := make([]*answer, attempts)
	var all sync.WaitGroup
	for i := range attempts {
		after := time.Duration(random.Int64N(spanSeconds * int64(time.Second)))
		patience := time.Duration(random.Int64N(int64(4 * time.Second)))
		all.Go(func() {
			time.Sleep(after)
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			c := newCall(model, fmt.Sprintf("%d", i), 50)
			c.NonIdempotent = i%2 == 0
			answers[i] = generate(ctx, client, 1, c, nil)
		})
	}
	all.Wait()
	time.Sleep(time.Minute) // lets delayed bytes arrive
	return countOutcomes(t, seed, answers, e.Records())
}

// injectFaults starts one fault in each second and ends it up to 2 s later.
func injectFaults(ctx context.Context, seed int64, network *memnet.Net, host string, e *engsim.Engine, links *breakableConns) {
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	reload := engine.NewEngine(addr, network.Dial(caller))
	context.AfterFunc(ctx, reload.Close)
	for second := range spanSeconds {
		length := time.Duration(random.Int64N(int64(2 * time.Second)))
		start := time.Duration(second)*time.Second + time.Duration(random.Int64N(int64(time.Second)))
		begin, end := e.Crash, func() {}
		switch random.IntN(5) {
		case 0:
			begin, end = func() { network.Freeze(host) }, func() { network.Thaw(host) }
		case 1:
			begin, end = func() { network.Cut(caller, host) }, func() { network.Heal(caller, host) }
		case 2:
			begin, end = func() { network.CutOneWay(host, caller) }, func() { network.HealOneWay(host, caller) }
		case 3:
			begin = links.cut
		}
		time.AfterFunc(start, begin)
		time.AfterFunc(start+length, end)
		time.AfterFunc(start+500*time.Millisecond, func() { reload.Load(ctx, 1, model) })
	}
}

// countOutcomes checks the answers against the engine's records and counts the outcomes.
func countOutcomes(t *testing.T, seed uint64, answers []*answer, records []recrd.Record) map[string]int {
	ran := map[string][]recrd.Record{}
	for _, rec := range records {
		ran[rec.Attempt] = append(ran[rec.Attempt], rec)
	}
	count := map[string]int{}
	for i, a := range answers {
		text := fmt.Sprintf("%d", i)
		runs := ran["a-"+text]
		if len(runs) > 1 {
			t.Errorf("seed %d: attempt %d ran %d times: %+v", seed, i, len(runs), runs)
		}
		if want := expectedText(model, text, 50); a.err == nil && a.text.String() != want || !strings.HasPrefix(want, a.text.String()) {
			t.Errorf("seed %d: attempt %d = %q, %v, want %q", seed, i, a.text.String(), a.err, want)
		}
		switch {
		case a.err == nil && (len(runs) != 1 || runs[0].Tokens != 50):
			t.Errorf("seed %d: attempt %d was answered whole, records %+v", seed, i, runs)
		case a.err == nil:
			count["whole"]++
		case verd.Of(a.err) == verd.NotRun && len(runs) > 0:
			t.Errorf("seed %d: attempt %d ended with %v (not-run), records %+v", seed, i, a.err, runs)
		case verd.Of(a.err) == verd.NotRun:
			count["not-run"]++
		case len(runs) > 0:
			count["may-have-run and ran"]++
		default:
			count["may-have-run and did not"]++
		}
	}
	return count
}
