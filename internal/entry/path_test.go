package entry_test

import (
	"context"
	"net/http"
	"testing"

	"damaskreach/internal/call"
	"damaskreach/internal/digest"
	"damaskreach/pkg/head"
)

// A caller's path may hold escapes, empty segments and dots. If they were decoded or cleaned on the way, a plain service
// would run another request than the caller sent, with a part of the path as its query for instance, or the caller would
// be redirected and told nothing of whether its request ran.
func TestPlainServiceGetsTheCallersPath(t *testing.T) {
	for _, path := range []string{"/slots", "/slots/", "/", "/a%2Fb", "/a%3Fb=c", "/a%20b", "/a//b", "//a", "/a/../b", "/a/./b", "/%D2%9B?q=a%2Fb", "/a?"} {
		t.Run(path, func(t *testing.T) {
			e := newEntry()
			answer := e.Run
			got := "nothing"
			e.Run = func(ctx context.Context, d digest.Digest, c call.Call, hd func(int, string) error, emit func(int, []byte) error) error {
				got = c.Path
				return answer(ctx, d, c, hd, emit)
			}
			w := serve(e, "POST", "/plain/bookings"+path, "{}")
			if w.Code != http.StatusOK || got != path {
				t.Errorf("got status %d and path %s, want 200 and %s", w.Code, got, path)
			}
		})
	}
}

// Paths that are not in their shortest form name no route of a model server. A redirect to the shortest form would carry
// no verdict, and some callers would follow it with another method.
func TestUncleanPathIsRefusedWithAVerdict(t *testing.T) {
	for _, path := range []string{"//v1/completions", "/v1/../v1/completions", "/v1/./models"} {
		w := serve(newEntry(), "POST", path, `{"model":"adapter-0@v1"}`)
		if got, want := w.Code, http.StatusNotFound; got != want {
			t.Errorf("%s: got status %d, want %d", path, got, want)
		}
		if got, want := w.Header().Get(head.Verdict), "not-run"; got != want {
			t.Errorf("%s: got verdict %q, want %q", path, got, want)
		}
	}
}
