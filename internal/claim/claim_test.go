package claim_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/call"
	"damaskreach/internal/claim"
	"damaskreach/internal/gather"
	"damaskreach/internal/loop"
	"damaskreach/internal/peer"
	"damaskreach/internal/sess"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/table"
	"damaskreach/pkg/refuse"
)

// newClaim returns the claims of a node that keeps all shards itself.
func newClaim(ctx context.Context, db *rowdb.DB) *claim.Claim {
	log := zap.NewNop()
	c := &claim.Claim{
		Loop: loop.NewLoop(), Mesh: peer.NewMesh("n", [][]byte{[]byte("a secret of the nodes")}, nil, log), Table: db.Table(),
		Gather: gather.NewGather(db.Table(), time.Millisecond), Log: log, Keepers: 1, Life: time.Hour, Ctx: ctx,
		Home: func(context.Context, string) (sess.Session, bool, error) { return sess.Session{}, true, nil },
		Self: func() string { return "node/n" },
	}
	c.Register()
	go c.Loop.Run(ctx)
	go c.Gather.Run(ctx)
	return c
}

// The row of a key holds arbitrary bytes, since another release or a fault wrote it. A request with the key must end in
// an outcome or a refusal; it must never be dispatched over a row that cannot be read.
func FuzzClaimRow(f *testing.F) {
	f.Add([]byte(`{"print":"p","nonce":"n","session":"node/n","ended":true,"answer":{"verdict":"ran","status":200}}`))
	f.Add([]byte(`{"ended":true}`))
	f.Add([]byte(`{"print":1}`))
	f.Add([]byte(`{"answer":{"refusal":{"verdict":"perhaps"}}}`))
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, value []byte) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			db := rowdb.NewDB()
			c := newClaim(ctx, db)
			r := call.Call{Tenant: "parish", Key: "k", NonIdempotent: true, Body: []byte("{}")}
			if _, prior, err := c.Begin(ctx, r); prior != nil || err != nil {
				t.Fatalf("first Begin = %v, %v, want the claim", prior, err)
			}
			held, _, err := db.Table().List(ctx, table.PrefixClaim)
			if err != nil || len(held) != 1 {
				t.Fatalf("%d rows, error %v, want the claim's", len(held), err)
			}
			if _, err := db.Table().Write(ctx, held[0].WithValue(value)); err != nil {
				t.Fatal(err)
			}
			end, prior, err := c.Begin(ctx, r)
			var refusal *refuse.Refusal
			if end != nil || prior == nil && !errors.As(err, &refusal) {
				t.Errorf("Begin over the row %q = %v, %v, want an outcome or a refusal", value, prior, err)
			}
		})
	})
}
