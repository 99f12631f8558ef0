package wire_test

import (
	"errors"
	"testing"

	"damaskreach/internal/strm"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// wantErr checks the error of a stream's next Recv and its verdict; a nil target stands for any error.
func wantErr(t *testing.T, s *strm.Stream, target error, verdict verd.Verdict) {
	t.Helper()
	err := s.Recv(t.Context(), new(any))
	if err == nil || verd.Of(err) != verdict || target != nil && !errors.Is(err, target) {
		t.Errorf("Recv: got %v, %v, want %v, %v", err, verd.Of(err), target, verdict)
	}
}

// wantCode checks that an error carries a refusal of a code and verdict.
func wantCode(t *testing.T, err error, code string, verdict verd.Verdict) {
	t.Helper()
	var refusal *refuse.Refusal
	if !errors.As(err, &refusal) || refusal.Code != code || verd.Of(err) != verdict {
		t.Errorf("got %v, %v, want %s, %v", err, verd.Of(err), code, verdict)
	}
}
