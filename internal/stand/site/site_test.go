//go:build !race

package site_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/site"
)

const (
	settle = 5 * time.Second
	model  = "adapter-1@v1"
)

func TestRequestIsServedEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := site.NewSite(1, 3)
		if err := s.Start(ctx, 10); err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			s.StartNode(ctx, i)
		}
		time.Sleep(settle)
		for i := range 3 {
			status, _, body, err := s.Complete(ctx, i, model, "pour schedule", 5, nil)
			if err != nil || status != 200 {
				t.Errorf("node %d: status %d, error %v, body %s; want 200", i, status, err, body)
			}
			for _, token := range engsim.Answer(model, "pour schedule", 5) {
				if !strings.Contains(string(body), strings.TrimSpace(token)) {
					t.Errorf("node %d: got body %s, want it to hold %q", i, body, token)
				}
			}
		}
		cancel()
		for i := range 3 {
			s.Wait(i)
		}
		time.Sleep(settle) // lets closed connections end
	})
}
