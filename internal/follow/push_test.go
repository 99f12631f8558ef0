package follow_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/adapt"
	"damaskreach/internal/catlog"
	"damaskreach/internal/follow"
	"damaskreach/internal/peer"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/stand/tally"
)

const (
	followers = 6
	poll      = 2 * time.Second
	pushDelay = 300 * time.Millisecond // time for a push to arrive
	pushes    = "rows"
)

// cluster is a set of nodes that follow one table; sent counts the messages of each node.
type cluster struct {
	db    *rowdb.DB
	nodes []*follow.Follow
	sent  []*tally.Tally
}

func addr(i int) string {
	return fmt.Sprintf("10.0.0.%d:7000", i+1)
}

// withCluster runs work, in virtual time, on nodes that serve each other and have not read the table yet.
func withCluster(t *testing.T, work func(ctx context.Context, t *testing.T, m *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := memnet.NewNet(1)
		m := &cluster{db: rowdb.NewDB()}
		for i := range followers {
			m.join(ctx, t, network, i)
		}
		defer func() {
			cancel()
			time.Sleep(time.Minute) // lets connections end
		}()
		work(ctx, t, m)
	})
}

func (m *cluster) join(ctx context.Context, t *testing.T, network *memnet.Net, i int) {
	t.Helper()
	host := fmt.Sprintf("10.0.0.%d", i+1)
	sent := tally.NewTally()
	mesh := peer.NewMesh(host, [][]byte{[]byte("a shared key")}, sent.Dial(network.Dial(host)), zap.NewNop())
	var others []string
	for k := range followers {
		if k != i {
			others = append(others, addr(k))
		}
	}
	f := &follow.Follow{Table: m.db.Table(), Mesh: mesh, Poll: poll, Log: zap.NewNop(), Name: host, Peers: func() []string { return others }}
	f.Register()
	lis, err := network.Listen(addr(i))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = mesh.Serve(ctx, lis) }() // ends with ctx
	m.nodes, m.sent = append(m.nodes, f), append(m.sent, sent)
}

// write writes an adapter's row and returns its revision.
func (m *cluster) write(t *testing.T, name string, share int) int64 {
	t.Helper()
	key := catlog.Key(catlog.KindAdapter, name)
	row := site.Row(catlog.KindAdapter, name, adapt.Adapter{Name: name, Tenant: "roads", Group: "assist", Versions: map[string]int{"v1": share}})
	if old, err := m.db.Table().Read(t.Context(), key); err == nil {
		row.Rev = old.Rev
	}
	rev, err := m.db.Table().Write(t.Context(), row)
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

// renew writes a session, which raises the table's revision without a configuration change.
func (m *cluster) renew(t *testing.T, name string) {
	t.Helper()
	if _, err := m.db.Table().Write(t.Context(), rows.Row{Key: "node/site/" + name, Value: []byte(name)}); err != nil {
		t.Fatal(err)
	}
}

// read makes a node read its tail and waits for its pushes to arrive.
func (m *cluster) read(ctx context.Context, t *testing.T, i int) {
	t.Helper()
	if err := m.nodes[i].Read(ctx); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pushDelay)
}

// pushed returns how many nodes have pushed since the reset, and the total number of pushes.
func (m *cluster) pushed() (pushers, total int64) {
	for _, sent := range m.sent {
		messages, _ := sent.Count(pushes)
		total += messages / 2 // each with its answer
		pushers += min(1, messages)
	}
	return pushers, total
}

func (m *cluster) reset() {
	for _, sent := range m.sent {
		sent.Reset()
	}
}

func share(f *follow.Follow, name string) int {
	a, _ := f.Catalog().Adapter(name)
	return a.Versions["v1"]
}

// Other nodes find a pushed row in their own tails, at a higher table revision because sessions were renewed. If they took it
// for new, each would push it again: n x (n-1) messages for one edit, which fill the network of a large site.
func TestChangeIsPushedByItsFirstReaderOnly(t *testing.T) {
	withCluster(t, func(ctx context.Context, t *testing.T, m *cluster) {
		m.write(t, "a", 1)
		for i := range m.nodes {
			m.read(ctx, t, i)
		}
		m.renew(t, "x")
		m.read(ctx, t, 0)
		m.reset()
		m.write(t, "a", 2)
		for i := range m.nodes {
			m.read(ctx, t, i)
			m.renew(t, fmt.Sprint(i))
			if i > 0 {
				continue
			}
			for k, f := range m.nodes {
				if got, want := share(f, "a"), 2; got != want {
					t.Errorf("node %d after one message of the first reader: share = %d, want %d", k, got, want)
				}
			}
		}
		if pushers, total := m.pushed(); pushers != 1 || total != followers-1 {
			t.Errorf("got %d pushes by %d nodes for one change, want %d by 1", total, pushers, followers-1)
		}
	})
}

// Nodes are started together by a script. If they polled in step, each would see every change first and push it to all others,
// and a change would wait for a full interval although there are many readers.
func TestNodesThatStartTogetherPollAtDifferentTimes(t *testing.T) {
	withCluster(t, func(ctx context.Context, t *testing.T, m *cluster) {
		m.write(t, "a", 1)
		for _, f := range m.nodes {
			go f.Run(ctx)
		}
		time.Sleep(2*poll + pushDelay)
		m.reset()
		m.write(t, "a", 2)
		time.Sleep(2 * poll)
		for i, f := range m.nodes {
			if got, want := share(f, "a"), 2; got != want {
				t.Errorf("node %d: share = %d, want %d", i, got, want)
			}
		}
		if pushers, total := m.pushed(); pushers != 1 || total != followers-1 {
			t.Errorf("got %d pushes by %d nodes for one change, want %d by 1", total, pushers, followers-1)
		}
	})
}

// A node already knows one row of its tail and pushes only the rest. A node that lost the push of the known row must not take
// the rest for complete up to the tail's revision: it would never get the row, and would treat callers differently.
func TestPartialPushDoesNotHideMissingRows(t *testing.T) {
	withCluster(t, func(ctx context.Context, t *testing.T, m *cluster) {
		first, second := m.nodes[0], m.nodes[1]
		m.write(t, "start", 1)
		m.read(ctx, t, 0)
		m.write(t, "a", 2)
		rev := m.write(t, "b", 3)
		row, err := m.db.Table().Read(ctx, catlog.Key(catlog.KindAdapter, "b"))
		if err != nil {
			t.Fatal(err)
		}
		// A push by a node that had read all but the row of b.
		pushed := map[string]any{"after": rev - 1, "upto": rev, "rows": []rows.Row{row}}
		if err := m.nodes[2].Mesh.Ask(ctx, addr(0), pushes, pushed, &struct{}{}); err != nil {
			t.Fatal(err)
		}
		if share(first, "a") != 0 || share(first, "b") != 3 {
			t.Fatalf("after the push a = %d, b = %d, want 0, 3", share(first, "a"), share(first, "b"))
		}
		m.read(ctx, t, 0)
		if share(second, "a") != 2 || share(second, "b") != 0 {
			t.Fatalf("after the part of a tail a = %d, b = %d, want 2, 0", share(second, "a"), share(second, "b"))
		}
		m.read(ctx, t, 1)
		if share(second, "b") != 3 {
			t.Errorf("after its own reading b = %d, want 3", share(second, "b"))
		}
	})
}
