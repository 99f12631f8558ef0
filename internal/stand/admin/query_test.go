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
		factor := q.Factor("factor")
		return func() {
			applied++
			if text != "x" || !on || count != 3 || by != time.Second || factor != 0.5 {
				t.Errorf("read %q, %v, %d, %v, %v, want x, true, 3, 1s, 0.5", text, on, count, by, factor)
			}
		}
	})
	for query, want := range map[string]int{
		"text=x&on=true&count=3&by=1s&factor=0.5":  http.StatusNoContent,
		"on=true&count=3&by=1s&factor=0.5":         http.StatusBadRequest,
		"text=x&on=3&count=3&by=1s&factor=0.5":     http.StatusBadRequest,
		"text=x&on=true&count=-3&by=1s&factor=0.5": http.StatusBadRequest,
		"text=x&on=true&count=3&by=-1s&factor=0.5": http.StatusBadRequest,
		"text=x&on=true&count=3&by=1s&factor=0":    http.StatusBadRequest,
		"text=x&on=true&count=3&by=1s&factor=NaN":  http.StatusBadRequest,
		"text=x&on=true&count=3&by=1s&factor=Inf":  http.StatusBadRequest,
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
