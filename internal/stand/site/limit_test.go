//go:build !race

package site_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/adapt"
	"damaskreach/internal/entry"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/table"
)

const (
	limitNodes = 3
	limitRate  = 6 // requests a minute
	limitSpan  = 2 * time.Minute
	limitPause = 2 * time.Second
)

// A tenant spreads its requests over all nodes to get more than the operators allow. Without an exchange between the
// nodes each of them would let the whole limit through; refused callers must learn when to come back.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := site.NewSite(1, 3)
		if err := s.Start(ctx, 2); err != nil {
			t.Fatal(err)
		}
		limitAdapter(ctx, t, s, limitRate)
		for i := range limitNodes {
			s.StartNode(ctx, i)
		}
		time.Sleep(settle)
		served, refused := 0, 0
		for n := range int(limitSpan / limitPause) {
			status, header, body, err := s.Complete(ctx, n%limitNodes, model, "pour schedule", 2, nil)
			switch {
			case err == nil && status == http.StatusOK:
				served++
			case status == http.StatusTooManyRequests && header.Get("Retry-After") != "" && header.Get(entry.HeaderVerdict) == "not-run":
				refused++
			default:
				t.Fatalf("got status %d, error %v, headers %v, body %s; want 200, or 429 with Retry-After and not-run", status, err, header, body)
			}
			time.Sleep(limitPause)
		}
		least, most := limitRate*2-1, limitRate*2+limitNodes
		if served < least || served > most {
			t.Errorf("served %d and refused %d requests in %s, want %d to %d served", served, refused, limitSpan, least, most)
		}
		cancel()
		for i := range limitNodes {
			s.Wait(i)
		}
		time.Sleep(settle)
	})
}

func limitAdapter(ctx context.Context, t *testing.T, s *site.Site, rate int) {
	t.Helper()
	old, err := s.DB.Table().Read(ctx, table.PrefixConf+"adapter/"+site.AdapterName(1))
	if err != nil {
		t.Fatal(err)
	}
	row := site.Row("adapter", site.AdapterName(1), adapt.Adapter{
		Name: site.AdapterName(1), Tenant: site.Tenant, Group: site.Writers, Versions: map[string]int{"v1": 1}, Requests: rate,
	})
	row.Rev = old.Rev
	if _, err := s.DB.Table().Write(ctx, row); err != nil {
		t.Fatal(err)
	}
}
