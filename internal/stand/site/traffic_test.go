//go:build !race

package site_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/entry"
	"damaskreach/internal/node"
	"damaskreach/internal/peer"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/stand/tally"
)

const (
	trafficNodes    = 6
	trafficAdapters = 12
	trafficSpan     = 20 * time.Second
	trafficRate     = 50 // requests a second over all nodes
	trafficTokens   = 20
	methodRun       = "run" // carries requests and answers; all other methods are control
	asks            = 1000
)

// prefixes are the kinds of rows in the table service.
var prefixes = []string{"conf", "node", "own", "order", "claim", "suspect"}

// traffic is a site whose nodes' connections are counted.
type traffic struct {
	*site.Site
	*tally.Tally
	ctx    context.Context
	before map[string]rowCount // of the table service, when counting began
}

// rowCount is what the table service did for the rows of a prefix.
type rowCount struct {
	reads, writes, bytes int64
}

// withTraffic runs work on a site that has settled, in virtual time.
func withTraffic(t *testing.T, work func(f traffic)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := traffic{site.NewSite(1, trafficNodes), tally.NewTally(), ctx, map[string]rowCount{}}
		f.Prepare = func(n *node.Node) { n.Dial = f.Dial(n.Dial) }
		if err := f.Start(ctx, trafficAdapters); err != nil {
			t.Fatal(err)
		}
		for i := range trafficNodes {
			f.StartNode(ctx, i)
		}
		time.Sleep(4 * settle)
		work(f)
		cancel()
		for i := range trafficNodes {
			f.Wait(i)
		}
		time.Sleep(settle)
	})
}

// complete asks a node for an answer of so many tokens, which must be whole, and returns its size.
func (f traffic) complete(t *testing.T, node, adapter, tokens int) int64 {
	status, _, body, err := f.Complete(f.ctx, node, site.AdapterName(adapter)+"@v1", "pour schedule", tokens, nil)
	if _, whole := site.Text(body); err != nil || status != http.StatusOK || !whole {
		t.Errorf("got status %d, error %v, body %.80s; want 200 and a whole answer", status, err, body)
	}
	return int64(len(body))
}

// load sends requests at an even rate to one node after the other and returns how many were answered whole when all
// have ended. The nodes may refuse some while they load an adapter in another place; nothing else may become of them.
func (f traffic) load(t *testing.T) int {
	total := trafficRate * int(trafficSpan/time.Second)
	status := make(chan int)
	for i := range total {
		go func() { status <- f.request(t, i) }()
		time.Sleep(time.Second / trafficRate)
	}
	count := map[int]int{}
	for range total {
		count[<-status]++
	}
	t.Logf("answers by status: %v", count)
	return count[http.StatusOK]
}

// request sends request i, unlike all others: the nodes treat repeats of a request that is in progress apart.
func (f traffic) request(t *testing.T, i int) int {
	prompt := fmt.Sprintf("pour schedule %d", i)
	model := site.AdapterName(i*7%trafficAdapters) + "@v1"
	status, header, body, err := f.Complete(f.ctx, i%trafficNodes, model, prompt, trafficTokens, nil)
	_, whole := site.Text(body)
	refused := status == http.StatusServiceUnavailable && header.Get(entry.HeaderVerdict) == "not-run"
	if err != nil || !refused && !(status == http.StatusOK && whole) {
		t.Errorf("got status %d, error %v, body %.80s; want 200 and a whole answer, or 503 and not-run", status, err, body)
	}
	return status
}

// begin starts counting anew.
func (f traffic) begin() {
	f.Reset()
	for _, prefix := range prefixes {
		reads, writes, size := f.DB.Count(prefix)
		f.before[prefix] = rowCount{reads, writes, size}
	}
}

// table writes what was counted, for each node and second; a connection's bytes count for both its nodes.
func (f traffic) table(t *testing.T, title string, span time.Duration) (control float64) {
	var text bytes.Buffer
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\tmessages/s\tbytes/s\t\n", title)
	seconds := span.Seconds() * trafficNodes
	for _, name := range f.Names() {
		messages, size := f.Count(name)
		ends := 2.0
		if name == tally.Upstream {
			ends = 1
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.0f\t\n", name, ends*float64(messages)/seconds, ends*float64(size)/seconds)
		if name != methodRun && name != tally.Upstream {
			control += ends * float64(size) / seconds
		}
	}
	fmt.Fprintf(w, "control between nodes\t\t%.0f\t\n", control)
	for _, prefix := range prefixes {
		reads, writes, size := f.DB.Count(prefix)
		before := f.before[prefix]
		fmt.Fprintf(w, "table %s/: reads\t%.2f\t\t\n", prefix, float64(reads-before.reads)/seconds)
		fmt.Fprintf(w, "table %s/: writes\t%.2f\t%.0f\t\n", prefix, float64(writes-before.writes)/seconds, float64(size-before.bytes)/seconds)
	}
	w.Flush()
	t.Logf("%d nodes, each\n%s", trafficNodes, &text)
	return control
}

// The nodes of a site tell each other what they hold and what is asked of them. Where that grows, the network between
// data centres fills up with it before the requests do.
func TestTrafficBetweenNodes(t *testing.T) {
	limits := readLimits(t)
	withTraffic(t, func(f traffic) {
		f.begin()
		time.Sleep(trafficSpan)
		wantMost(t, "idle bytes a second and node", f.table(t, "idle", trafficSpan), limits.Idle)
		for i := range trafficAdapters {
			f.complete(t, i%trafficNodes, i, 1) // loads the adapter
		}
		f.begin()
		start := time.Now()
		requests := f.load(t)
		span := time.Since(start)
		control := f.table(t, fmt.Sprintf("%d requests/s", trafficRate), span)
		perRequest := control / 2 * trafficNodes * span.Seconds() / float64(requests)
		wantMost(t, "control bytes a request", perRequest, limits.Control)
	})
}

// An answer is one message for each token. A field that is added to it is paid for by every token of every stream.
func TestBytesPerStreamedToken(t *testing.T) {
	limits := readLimits(t)
	withTraffic(t, func(f traffic) {
		// beside returns the bytes between nodes that are not the engine's events.
		beside := func(node, tokens int) int64 {
			f.complete(t, node, 0, 1) // loads the adapter
			f.Reset()
			events := f.complete(t, node, 0, tokens) - int64(tokens*len("data: \n\n"))
			_, size := f.Count(methodRun)
			return size - events
		}
		const short, long = 100, 600
		measured := 0
		for i := range trafficNodes {
			got := float64(beside(i, long)-beside(i, short)) / (long - short)
			if _, size := f.Count(methodRun); size == 0 {
				continue // this node is the owner
			}
			wantMost(t, fmt.Sprintf("node %d: bytes a token beside the engine's event", i), got, limits.Token)
			measured++
		}
		if measured != trafficNodes-1 {
			t.Errorf("measured %d nodes, want all but the owner", measured)
		}
	})
}

// The nodes ask each other small questions all the time; what each costs beside its contents must stay small.
func TestBytesPerAsk(t *testing.T) {
	limits := readLimits(t)
	synctest.Test(t, func(t *testing.T) {
		n, count := memnet.NewNet(1), tally.NewTally()
		l, err := n.Listen(site.Host(1) + ":7000")
		if err != nil {
			t.Fatal(err)
		}
		secrets := [][]byte{[]byte("a shared key")}
		b := peer.NewMesh("b", secrets, n.Dial(site.Host(1)), zap.NewNop())
		peer.Answer(b, "ask", func(_ context.Context, _ string, q int) (int, error) { return q + 1, nil })
		done := make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { done <- b.Serve(ctx, l) }()
		a := peer.NewMesh("a", secrets, count.Dial(n.Dial(site.Host(0))), zap.NewNop())
		for i := range asks {
			var got int
			if err := a.Ask(t.Context(), site.Host(1)+":7000", "ask", i, &got); err != nil || got != i+1 {
				t.Fatalf("Ask: got %d, %v, want %d", got, err, i+1)
			}
		}
		messages, size := count.Count("ask")
		if messages != 2*asks {
			t.Errorf("got %d messages, want %d", messages, 2*asks)
		}
		wantMost(t, "bytes a question and its answer", float64(size)/asks, limits.Ask)
		a.Close()
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve: got %v, want nil", err)
		}
	})
}
