//go:build !race

package site_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/site"
)

const largePrompt = 6 << 20 // bytes, below the largest body but above a frame's usual size

// A caller sends a long report to a node that does not own the runner. If a message between nodes could not hold it, the
// same request would succeed on one node and fail on the others.
func TestLargeBodyIsServedEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := site.NewSite(1, 1)
		if err := s.Start(ctx, 2); err != nil {
			t.Fatal(err)
		}
		for i := range 2 {
			s.StartNode(ctx, i)
		}
		time.Sleep(settle)
		prompt := strings.Repeat("x", largePrompt)
		for i := range 2 {
			status, _, body, err := s.Complete(ctx, i, model, prompt, 2, nil)
			if status != http.StatusOK || err != nil {
				t.Errorf("node %d: got status %d, error %v, body %.200s; want 200", i, status, err, body)
			}
		}
		cancel()
		for i := range 2 {
			s.Wait(i)
		}
		time.Sleep(settle)
	})
}
