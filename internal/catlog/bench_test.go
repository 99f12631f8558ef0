package catlog_test

import (
	"fmt"
	"runtime"
	"testing"

	"damaskreach/internal/catlog"
	"damaskreach/internal/rows"
	"damaskreach/internal/runner"
	"damaskreach/internal/snap"
)

var sizes = []int{3000, 57000}

// many returns rows of count adapters as damaskctl writes them.
func many(count int) []rows.Row {
	all := make([]rows.Row, count)
	for i := range all {
		all[i] = stamped(i, 90, int64(1+i/500))
	}
	return all
}

func stamped(i, share int, rev int64) rows.Row {
	name := fmt.Sprintf("adapter-%05d", i)
	value := fmt.Appendf(nil, `{"name":%q,"tenant":"tenant-%03d","group":"assist","versions":{"v1":%d,"v2":10},"requests":60,`+
		`"stamp":{"by":"kim","edit":"QW5JUZ5B3XLOYOKHWMNQTGAEIA","over":1}}`, name, (i*7919)%100, share)
	return rows.Row{Key: catlog.Key(catlog.KindAdapter, name), Value: value, Rev: rev}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkStart measures taking in a whole listing, and the memory that stays in use.
func BenchmarkStart(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			all := many(size)
			before := heap()
			var c catlog.Catalog
			for b.Loop() {
				c, _ = catlog.NewCatalog().WithWhole(all, 1000)
			}
			b.ReportMetric(float64(heap()-before)/float64(size), "B/adapter")
			runtime.KeepAlive(all)
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkChange measures one changed row, as the tail brings it.
func BenchmarkChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c, _ := catlog.NewCatalog().WithWhole(many(size), 1000)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				rev := int64(1001 + i)
				c, _ = c.WithTail([]rows.Row{stamped(i%size, i%100, rev)}, rev-1, rev)
			}
		})
	}
}

// BenchmarkRunnerChange measures one changed runner in a group of 10,000.
func BenchmarkRunnerChange(b *testing.B) {
	row := func(i, slots int, rev int64) rows.Row {
		value := runner.Runner{Name: fmt.Sprintf("r%05d", i), Group: "assist", Addr: "10.0.0.1:80", Centre: "medeu", Slots: slots, Batch: 16}
		return rows.Row{Key: catlog.Key(catlog.KindRunner, value.Name), Value: encode(b, value), Rev: rev}
	}
	all := make([]rows.Row, 10000)
	for i := range all {
		all[i] = row(i, 4, 1)
	}
	before := heap()
	c, _ := catlog.NewCatalog().WithWhole(all, 1)
	memory := heap() - before
	runtime.KeepAlive(all)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c, _ = c.With([]rows.Row{row(i%len(all), i%8, int64(2+i))})
	}
	b.ReportMetric(float64(memory)/float64(len(all)), "B/runner")
}

func BenchmarkAdapter(b *testing.B) {
	c, _ := catlog.NewCatalog().WithWhole(many(57000), 1000)
	b.ReportAllocs()
	for b.Loop() {
		c.Adapter("adapter-04711")
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c, _ := catlog.NewCatalog().WithWhole(many(size), 1000)
			var data []byte
			for b.Loop() {
				data, _ = snap.Encode(c.Rows(), c.Complete())
				all, rev, err := snap.Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				c, _ = catlog.NewCatalog().WithWhole(all, rev)
			}
			b.ReportMetric(float64(len(data))/float64(size), "B/adapter")
		})
	}
}
