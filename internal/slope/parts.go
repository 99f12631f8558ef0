package slope

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/call"
	"damaskreach/internal/catlog"
	"damaskreach/internal/digest"
	"damaskreach/internal/member"
	"damaskreach/internal/place"
	"damaskreach/internal/report"
	"damaskreach/internal/rows"
	"damaskreach/internal/runner"
	"damaskreach/internal/sched"
	"damaskreach/internal/sess"
	"damaskreach/internal/spread"
	"damaskreach/internal/tune"
)

const slots = 8 // of each runner, all taken

func heap() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// kept returns the bytes that stay in use for what build returns.
func kept(build func() any) float64 {
	before := heap()
	thing := build()
	after := heap()
	runtime.KeepAlive(thing)
	return after - before
}

// cost returns the microseconds of one call of do, which is called for about 20 ms.
func cost(do func()) float64 {
	const least = 20 * time.Millisecond
	do()
	count := 0
	begin := time.Now()
	for time.Since(begin) < least {
		do()
		count++
	}
	return float64(time.Since(begin).Microseconds()) / float64(count)
}

func model(i int) string {
	return fmt.Sprintf("adapter-%05d@v1", i)
}

func newDigest(i int) digest.Digest {
	d := digest.Digest{
		Runner: fmt.Sprintf("runner-%05d", i), Group: "assist", Owner: fmt.Sprintf("node-%04d.RAFTTWSRJE", i%1300),
		Addr: "10.0.100.200:7000", Fence: 12, Number: 1, Slots: slots, Batch: 32, Running: 20, Waiting: 2, Cheap: 0.25,
	}
	for k := range slots {
		d.Resident = append(d.Resident, model(i*slots+k))
	}
	return d
}

func adapterRow(i int) rows.Row {
	name := fmt.Sprintf("adapter-%05d", i)
	value := fmt.Appendf(nil, `{"name":%q,"tenant":"tenant-%03d","group":"assist","versions":{"v1":90,"v2":10},"requests":60}`, name, (i*7919)%100)
	return rows.Row{Key: catlog.Key(catlog.KindAdapter, name), Value: value, Rev: int64(i + 1)}
}

func runnerOf(i int) runner.Runner {
	return runner.Runner{Name: fmt.Sprintf("runner-%05d", i), Group: "assist", Addr: "10.0.100.200:80", Centre: fmt.Sprintf("centre-%02d", i%16), Slots: slots, Batch: 32, Fences: true}
}

func runnerRow(i int) rows.Row {
	r := runnerOf(i)
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain fields always encode
	}
	return rows.Row{Key: catlog.Key(catlog.KindRunner, r.Name), Value: value, Rev: int64(i + 1)}
}

func many[T any](count int, one func(i int) T) []T {
	all := []T{}
	for i := range count {
		all = append(all, one(i))
	}
	return all
}

func newCatalog(all []rows.Row) catlog.Catalog {
	c, _ := catlog.NewCatalog().WithWhole(all, int64(len(all)+1))
	return c
}

func newPlace(runners int) *place.Place {
	p := place.NewPlace(tune.Default())
	for i := range runners {
		p.UpdateDigest(time.Now(), newDigest(i))
	}
	return p
}

// newOwned returns what an owner keeps of a runner that is in full use, by the scheduler alone.
func newOwned(i int) *sched.Sched {
	s := sched.NewSched(runnerOf(i), tune.Default())
	now := time.Now()
	d := newDigest(i)
	s.Report(now, report.Report{Boot: "b", Slots: slots, Batch: 32, Resident: d.Resident})
	for k := range 24 {
		c := call.Call{ID: fmt.Sprint("request-", i, k), Attempt: fmt.Sprint("attempt-", i, k), Tenant: "tenant", Adapter: fmt.Sprintf("adapter-%05d", i*slots+k%slots), Version: "v1", Group: "assist", Tokens: 128}
		s.Submit(now, c)
	}
	return s
}

func session(i int) sess.Session {
	return sess.Session{
		Node: fmt.Sprintf("node-%04d", i), Epoch: "RAFTTWSRJE", Site: "s", Centre: fmt.Sprintf("centre-%02d", i%16), State: sess.Live,
		Peer: "10.0.100.200:7000", HTTP: "10.0.100.200:8000", Admin: "10.0.100.200:9000",
	}
}

func newMember(nodes int) *member.Member {
	m := member.NewMember(15 * time.Second)
	now := time.Now()
	m.Learn(now, now, "s", many(nodes, func(i int) rows.Row {
		s := session(i)
		return rows.Row{Key: s.Key(), Value: s.Encode(), Rev: int64(i + 1)}
	}))
	return m
}

// home does what a node does to find the home of an adapter.
func home(m *member.Member) string {
	var ids []string
	for _, s := range m.Serving(time.Now()) {
		ids = append(ids, s.ID())
	}
	return spread.OwnerOf(ids, "adapter-00007@v1")
}

// plan does what an owner does in each look at its runners.
func plan(c catlog.Catalog, m *member.Member, held map[string]string) map[string]string {
	return spread.NewSpread(c.AllRunners(), m.Serving(time.Now()), held)
}

// encoded returns the bytes of a message on the wire.
func encoded(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // plain fields always encode
	}
	return data
}
