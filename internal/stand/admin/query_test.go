package admin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"damaskreach/internal/stand/admin"
)

func TestHandleAppliesOnlyGoodCalls(t *testing.T) {
	applied := 0
	mux := http.NewServeMux()
	admin.Handle(mux, "all", func(q *admin.Query) func() {
		text, on, count, by := q.Text("text"), q.Bool("on"), q.Int("count"), q.Duration("by")
		return func() {
			applied++
			if text != "x" || !on || count != 3 || by != time.Second {
				t.Errorf("read %q, %v, %d, %v, want x, true, 3, 1s", text, on, count, by)
			}
		}
	})
	for query, want := range map[string]int{
		"text=x&on=true&count=3&by=1s":  http.StatusNoContent,
		"on=true&count=3&by=1s":         http.StatusBadRequest,
		"text=x&on=3&count=3&by=1s":     http.StatusBadRequest,
		"text=x&on=true&count=-3&by=1s": http.StatusBadRequest,
		"text=x&on=true&count=3&by=-1s": http.StatusBadRequest,
	} {
		answer := httptest.NewRecorder()
		mux.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/admin/all?"+query, nil))
		if got := answer.Code; got != want {
			t.Errorf("%s: status = %d, want %d", query, got, want)
		}
	}
	if got, want := applied, 1; got != want {
		t.Errorf("%d calls were applied, want %d", got, want)
	}
}
