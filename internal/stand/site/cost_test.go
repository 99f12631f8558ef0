package site_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/conf"
	"damaskreach/internal/node"
	"damaskreach/internal/report"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/stand/site"
)

const (
	shortStream    = 100
	longStream     = 10100
	benchTokens    = 32
	benchStep      = 8 * time.Millisecond // between the tokens of the canned engine in the benchmark
	readyPatience  = 20 * time.Second
	costPrompt     = "pour schedule"
	costEvent      = "data: {\"choices\":[{\"index\":0,\"text\":\"token \"}]}\n\n"
	costEnd        = "data: [DONE]\n\n"
	costRunnerRows = 1
	costModel      = "adapter-1@v1"
)

// canned is an engine that answers with a fixed event per token, every step.
func canned(step time.Duration) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(report.Report{At: time.Now(), Boot: "b", Fence: 1 << 40, Slots: 4, Batch: 64, Resident: []string{costModel}})
	})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Tokens int `json:"max_tokens"`
		}
		_ = json.NewDecoder(r.Body).Decode(&q)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		flush := http.NewResponseController(w)
		for range q.Tokens {
			if step > 0 {
				<-time.After(step) // the engine's own pace; nothing is asserted on it
			}
			_, _ = io.WriteString(w, costEvent)
			_ = flush.Flush()
		}
		_, _ = io.WriteString(w, costEnd)
	})
	return mux
}

// path is two nodes before one canned engine, over TCP.
type path struct {
	engine string
	nodes  []string // callers' addresses, the owner of the runner first
}

func newPath(t testing.TB, step time.Duration) path {
	t.Helper()
	engine := httptest.NewServer(canned(step))
	t.Cleanup(engine.Close)
	db := rowdb.NewDB()
	addr := engine.Listener.Addr().String()
	s := site.NewSite(1, costRunnerRows)
	all := s.Rows(2)
	for i, row := range all {
		all[i] = rows.Row{Key: row.Key, Value: bytes.ReplaceAll(row.Value, []byte(site.EngineHost(0)+":80"), []byte(addr))}
	}
	if _, err := db.Table().Write(context.Background(), all...); err != nil {
		t.Fatal(err)
	}
	owner, first := startTCP(t, db, "owner")
	await(t, func() bool { return len(owner.Runners()) == 1 })
	_, second := startTCP(t, db, "other")
	p := path{engine: addr, nodes: []string{first, second}}
	for _, addr := range p.nodes {
		await(t, func() bool { _, err := stream(addr, 1); return err == nil })
	}
	return p
}

func startTCP(t testing.TB, db *rowdb.DB, name string) (*node.Node, string) {
	t.Helper()
	c := conf.Default()
	c.Node, c.Site, c.Centre = name, site.Name, "centre-1"
	var kept sync.Map // open listeners, by address: a port that is let go until the node listens may be another process's by then
	free := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		kept.Store(l.Addr().String(), l)
		return l.Addr().String()
	}
	c.Peer, c.HTTP, c.Admin = free(), free(), free()
	c.Secrets = []string{"a shared key of the site's nodes"}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	}
	listen := func(addr string) (net.Listener, error) {
		if l, ok := kept.LoadAndDelete(addr); ok {
			return l.(net.Listener), nil
		}
		return net.Listen("tcp", addr)
	}
	n := node.NewNode(c, dial, listen, zap.NewNop())
	n.Table = db.Table()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			t.Errorf("running node %s: %v", name, err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return n, c.HTTP
}

func await(t testing.TB, done func() bool) {
	t.Helper()
	for limit := time.Now().Add(readyPatience); !done(); {
		if time.Now().After(limit) {
			t.Fatalf("got no path that serves within %s, want one", readyPatience)
		}
		<-time.After(time.Millisecond) // between looks; other processes and sockets do not run on synctest's clock
	}
}

// stream asks addr for a streamed answer and returns the time to its first byte.
func stream(addr string, tokens int) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, costModel, costPrompt, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+site.APIKey)
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", res.StatusCode)
	}
	first := make([]byte, 1)
	if _, err := io.ReadFull(res.Body, first); err != nil {
		return 0, err
	}
	took := time.Since(start)
	_, err = io.Copy(io.Discard, res.Body)
	return took, err
}

// A node that allocates for every token of every stream spends its core on the garbage collector at 6.9 million tokens
// a second over the fleet, and callers see gaps between tokens.
func TestAllocationsPerStreamedToken(t *testing.T) {
	limits := readLimits(t)
	most := limits.Allocations
	if raceDetector {
		most = limits.AllocationsRace
	}
	p := newPath(t, 0)
	for i, addr := range p.nodes {
		allocs := func(tokens int) float64 {
			return testing.AllocsPerRun(3, func() {
				if _, err := stream(addr, tokens); err != nil {
					t.Fatal(err)
				}
			})
		}
		got := (allocs(longStream) - allocs(shortStream)) / (longStream - shortStream)
		wantMost(t, fmt.Sprintf("node %d: allocations a streamed token", i), got, most)
	}
}

// BenchmarkPath compares the first token and the whole answer through a node, and through a node and the owner, with
// the engine called directly.
func BenchmarkPath(b *testing.B) {
	p := newPath(b, benchStep)
	var direct time.Duration
	for _, c := range []struct{ name, addr string }{{"direct", p.engine}, {"owner", p.nodes[0]}, {"entry+owner", p.nodes[1]}} {
		b.Run(c.name, func(b *testing.B) {
			var firsts []time.Duration
			for b.Loop() {
				first, err := stream(c.addr, benchTokens)
				if err != nil {
					b.Fatal(err)
				}
				firsts = append(firsts, first)
			}
			median := slices.Sorted(slices.Values(firsts))[len(firsts)/2]
			if c.name == "direct" {
				direct = median
			}
			b.ReportMetric(float64(median.Microseconds()), "first-µs")
			b.ReportMetric(float64(median)/float64(direct), "first/direct")
		})
	}
}
