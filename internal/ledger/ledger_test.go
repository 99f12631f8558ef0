package ledger_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/event"
	"damaskreach/internal/ledger"
	"damaskreach/internal/query"
	"damaskreach/internal/reason"
	"damaskreach/internal/rows"
	"damaskreach/internal/sess"
	"damaskreach/internal/stand/rowdb"
)

// alone returns the ledger of a site with one node.
func alone(db *rowdb.DB) *ledger.Ledger {
	return &ledger.Ledger{
		Site: "s", Table: db.Table(), Log: zap.NewNop(),
		Home: func(context.Context, string) (sess.Session, bool, error) { return sess.Session{}, true, nil },
	}
}

func unload(model string) event.Event {
	return event.Event{At: time.Now(), Node: "n", Why: reason.Reason{Kind: reason.Unload, Model: model}}
}

// A site unloads adapters all day. The rows it keeps must not grow for ever, and there must be few writes.
func TestRowsAreDeletedAfterADay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		db := rowdb.NewDB()
		l := alone(db)
		go l.Run(ctx)
		most, hours := 0, 60
		for range hours {
			for range 60 {
				l.Add(unload("a@v1"))
				time.Sleep(time.Minute)
			}
			kept, _, err := db.Table().List(ctx, "why/")
			if err != nil {
				t.Fatal(err)
			}
			most = max(most, len(kept))
		}
		if want := 27 * 60; most > want {
			t.Errorf("%d rows were kept at a time, want at most %d", most, want)
		}
		found, err := l.Find(ctx, query.Query{Adapter: "a"})
		if want := 24 * 60; err != nil || len(found) < want {
			t.Errorf("%d decisions are known, error %v, want at least %d", len(found), err, want)
		}
		cancel()
	})
}

// The answer to a write is lost after it took effect, and the sender passes the decision on again. An operator must see it once.
func TestLostAnswerDoesNotDoubleADecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		db := rowdb.NewDB()
		l := alone(db)
		go l.Run(ctx)
		db.LoseAnswers(3)
		l.Add(unload("a@v1"))
		time.Sleep(time.Minute)
		found, err := l.Find(ctx, query.Query{Kind: reason.Unload})
		if err != nil || len(found) != 1 || found[0].Why.Model != "a@v1" {
			t.Errorf("found %v, error %v, want the one unload", found, err)
		}
		cancel()
	})
}

// A row may be damaged, or written by another program. Reading it must fail and not bring the node down.
func FuzzFind(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0})
	f.Add([]byte("\x03\x08\x91\x80\xc0"))
	f.Fuzz(func(t *testing.T, value []byte) {
		db := rowdb.NewDB()
		key := "why/s/" + time.Now().UTC().Format("2006010215") + "/1"
		if _, err := db.Table().Write(t.Context(), rows.Row{Key: key, Value: value}); err != nil {
			t.Fatal(err)
		}
		found, err := alone(db).Find(t.Context(), query.Query{})
		if err != nil && len(found) > 0 {
			t.Errorf("found %v in a row that cannot be read: %v", found, err)
		}
	})
}
