package proven_test

import (
	"slices"
	"testing"
	"time"

	"damaskreach/internal/ident"
	"damaskreach/internal/proven"
)

// What is known of a request at a moment must not hang on what it showed later, and is known for as long as it goes on running well.
func TestRequestIsProvenFromItsFirstGoodAnswer(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000, 0).Add(time.Duration(s) * time.Second) }
	p := proven.NewProven()
	for s := 10; s <= 400; s += 30 {
		p.Add(ident.Ident{Fingerprint: "one", Wide: "w"}, at(s))
	}
	for s, want := range map[int]bool{9: false, 10: true, 400: true} {
		if got := p.HadBy("one", at(s)); got != want {
			t.Errorf("at %d s: proven = %v, want %v", s, got, want)
		}
	}
	if p.Has("other") || p.HadBy("other", at(400)) {
		t.Error("a request that never ran well is proven")
	}
	if got, want := p.Alike("w"), []string{"one"}; !slices.Equal(got, want) {
		t.Errorf("those alike = %q, want %q", got, want)
	}
	for n := range 4 {
		p.Add(ident.Ident{Fingerprint: "other"}, at(401+150*n))
	}
	if p.Has("one") {
		t.Error("a request that ran well long ago is still proven")
	}
}
