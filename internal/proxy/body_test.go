package proxy_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"damaskreach/internal/kinds"
	"damaskreach/internal/resp"
	"damaskreach/internal/room"
	"damaskreach/internal/route"
)

const longBody = 64 << 10

// setRoom bounds what all callers together hold; each request comes on a connection of its own.
func (b *bench) setRoom(size int64) {
	all := room.NewRoom(size, func() {})
	b.Part = func(ctx context.Context) *room.Room {
		p := all.Part(b, func() {})
		p.Begin()
		context.AfterFunc(ctx, p.Close)
		return p
	}
}

// post sends a booking with a body; length is what its head says, negative for none.
func (b *bench) post(body string, length int64) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(b.t.Context(), http.MethodPost, "/p/x", strings.NewReader(body))
	r.Host, r.ContentLength = "a.example", length
	rec := httptest.NewRecorder()
	b.ServeHTTP(rec, r)
	return rec
}

// Many callers send long bodies at once. Held without a bound they would fill the memory of the host, which would end with all its requests; those without room must be told at once
// that they have not run, short ones go on, and room must come back.
func TestLongBodiesWithoutRoomAreRefused(t *testing.T) {
	// Each room has place for one such body, with what is reserved for short ones, and not for a second.
	for length, size := range map[int64]int64{longBody: 96 << 10, -1: 180 << 10} {
		b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
		b.view.Rules.MaxBody = longBody
		b.setRoom(size)
		var second, short *httptest.ResponseRecorder
		b.setAnswers(func(s sent) (resp.Resp, error) {
			second = b.post(strings.Repeat("x", longBody), length)
			short = b.post("short", 5)
			return answers(200, nil, "first", nil)(s)
		}, answers(200, nil, "short", nil), answers(200, nil, "third", nil))
		first, third := b.post(strings.Repeat("x", longBody), length), b.post(strings.Repeat("x", longBody), length)
		if second.Code != http.StatusServiceUnavailable || second.Header().Get("Retry-After") == "" {
			t.Errorf("length %d: a body without room got %d, want %d and a time to come back", length, second.Code, http.StatusServiceUnavailable)
		}
		for want, rec := range map[string]*httptest.ResponseRecorder{"first": first, "short": short, "third": third} {
			if got := rec.Body.String(); got != want {
				t.Errorf("length %d: answer %q, want %q", length, got, want)
			}
		}
	}
}

// Callers send short bodies in chunks, whose length nobody knows before. Counted as the longest ones allowed, a few of them would leave no room for others.
func TestShortBodiesInChunksNeedNoRoom(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
	b.view.Rules.MaxBody = longBody
	b.setRoom(0)
	b.setAnswers(answers(200, nil, "done", nil))
	if got, want := b.post("short", -1).Body.String(), "done"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}
