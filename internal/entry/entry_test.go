// Package entry_test checks what callers are told, with the rest of a node put in place by functions.
package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/adapt"
	"damaskreach/internal/answer"
	"damaskreach/internal/call"
	"damaskreach/internal/catlog"
	"damaskreach/internal/digest"
	"damaskreach/internal/entry"
	"damaskreach/internal/group"
	"damaskreach/internal/rows"
	"damaskreach/internal/sess"
	"damaskreach/internal/table"
	"damaskreach/internal/tenant"
	"damaskreach/internal/timing"
	"damaskreach/pkg/refuse"
)

const (
	apiKey    = "parish-key"
	maxBody   = 1000
	maxHeader = 2000
)

func row(kind, name string, value any) rows.Row {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return rows.Row{Key: table.PrefixConf + kind + "/" + name, Value: text, Rev: 1}
}

func catalog() catlog.Catalog {
	sum := sha256.Sum256([]byte(apiKey))
	versions := map[string]int{"v1": 1}
	c, faults := catlog.NewCatalog().WithWhole([]rows.Row{
		row("tenant", "parish", tenant.Tenant{Name: "parish", Weight: 1, Keys: []string{hex.EncodeToString(sum[:])}}),
		row("tenant", "other", tenant.Tenant{Name: "other", Weight: 1}),
		row("group", "writers", group.Group{Name: "writers", Base: "base", Store: "weights"}),
		row("group", "bookings", group.Group{Name: "bookings", Plain: true}),
		row("adapter", "adapter-0", adapt.Adapter{Name: "adapter-0", Tenant: "parish", Group: "writers", Versions: versions}),
		row("adapter", "others", adapt.Adapter{Name: "others", Tenant: "other", Group: "writers", Versions: versions}),
	}, 1)
	if len(faults) > 0 {
		panic(faults[0])
	}
	return c
}

// newEntry returns an entry whose requests are all answered by one runner with the body "answer".
func newEntry() *entry.Entry {
	c := catalog()
	return &entry.Entry{
		MaxBody: maxBody, MaxHeader: maxHeader, MaxRequest: time.Minute, EntriesLife: 5 * time.Second, Log: zap.NewNop(),
		Catalog: func() catlog.Catalog { return c },
		Choose: func(context.Context, call.Call, []string) (digest.Digest, error) {
			return digest.Digest{Runner: "r"}, nil
		},
		Run: func(_ context.Context, _ digest.Digest, _ call.Call, head func(int, string) error, emit func(int, []byte) error) error {
			if err := head(200, "application/json"); err != nil {
				return err
			}
			return emit(0, []byte("answer"))
		},
		Admit: func(context.Context, call.Call) (func(int, bool), *refuse.Refusal) {
			return func(int, bool) {}, nil
		},
		Begin: func(context.Context, call.Call) (func(context.Context, *answer.Answer), *answer.Answer, error) {
			return func(context.Context, *answer.Answer) {}, nil, nil
		},
		Settle: func(context.Context, call.Call, string, *refuse.Refusal) {},
		Serving: func(context.Context, string) ([]sess.Session, error) {
			return []sess.Session{{HTTP: "10.0.0.1:8000"}}, nil
		},
		Closed:  func() bool { return false },
		Observe: func(call.Call, timing.Timing, *refuse.Refusal) {},
	}
}
