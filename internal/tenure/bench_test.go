package tenure_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"damaskreach/internal/rates"
	"damaskreach/internal/rows"
	"damaskreach/internal/stats"
	"damaskreach/internal/table"
	"damaskreach/internal/tenure"
)

// ownedSite returns the rows of hosts with ten engines each, and the engines.
func ownedSite(b *testing.B, hosts int) (list []rows.Row, engines map[string]string) {
	engines = map[string]string{}
	put := func(key string, value any) {
		data, err := msgpack.Marshal(value)
		if err != nil {
			b.Fatalf("row %s: %v", key, err)
		}
		list = append(list, rows.Row{Key: tenure.Prefix + key, Value: data, Rev: 1})
	}
	for h := range hosts {
		ip := fmt.Sprint("10.0.0.", h)
		put("host:"+ip, map[string]any{"ip": ip, "centre": "dc", "epoch": 1, "calm": true})
		for n := range 10 {
			id := fmt.Sprint("e", h*10+n)
			put("own:"+id, map[string]any{"ip": ip, "epoch": 1, "fence": 1})
			engines[id] = "dc"
		}
	}
	return append(list, rows.Row{Key: tenure.Prefix + "secret", Value: []byte("secret"), Rev: 1}), engines
}

// A host asks ten times a second which engines it owns.
func BenchmarkOwnedEngines(b *testing.B) {
	for _, hosts := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			list, engines := ownedSite(b, hosts)
			begun := time.Now()
			store := table.Table{
				First: func(context.Context, string, int) ([]rows.Row, int64, bool, error) { return list, 1, false, nil },
				Tail:  func(_ context.Context, _ string, after int64) ([]rows.Row, int64, error) { return nil, after, nil },
				Write: func(context.Context, ...rows.Row) (int64, error) { return 2, nil },
			}
			t := &tenure.Tenure{
				Table: store, Store: store, IP: "10.0.0.7", Centre: "dc", Clock: func() time.Duration { return time.Since(begun) },
				OrderGap: func() time.Duration { return time.Second }, Engines: func() map[string]string { return engines },
				Live: func(string) bool { return true }, LocalRates: func() rates.Rates { return rates.Rates{} },
				ExtraRows: func() []rows.Row { return nil }, ReadDelegated: func() bool { return false },
				RetryDelay: func() time.Duration { return time.Second },
				Publish:    func(string, int64, int64, []rows.Row) {}, Log: zap.NewNop(), Stats: stats.NewStats(),
			}
			go t.Run(b.Context())
			for len(t.OwnedEngines()) == 0 {
				if time.Since(begun) > 5*time.Second {
					b.Fatal("host owns no engine within 5 s")
				}
				time.Sleep(10 * time.Millisecond)
			}
			for b.Loop() {
				t.OwnedEngines()
			}
		})
	}
}
