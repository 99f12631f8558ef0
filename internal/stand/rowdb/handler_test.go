package rowdb_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"damaskreach/internal/reply"
	"damaskreach/internal/stand/rowdb"
)

func serve(db *rowdb.DB, method, path, body string) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	db.Handler().ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
	return answer
}

// Process tests set faults over HTTP; each must have the effect of its method.
func TestFaultsAreSetOverHTTP(t *testing.T) {
	db := rowdb.NewDB()
	steps := []struct {
		path string
		want int // status of a reading afterwards
	}{
		{"/admin/down?on=true", http.StatusServiceUnavailable},
		{"/admin/down?on=false", http.StatusNotFound},
		{"/admin/cut?client=192.0.2.1&on=true", http.StatusServiceUnavailable}, // httptest's client
		{"/admin/cut?client=192.0.2.1&on=false", http.StatusNotFound},
		{"/admin/slow?by=1ms", http.StatusNotFound},
		{"/admin/lag?by=5s&every=2", http.StatusNotFound},
		{"/admin/rates?writes=300&reads=2000", http.StatusNotFound},
		{"/admin/history?count=5", http.StatusNotFound},
		{"/admin/lose?count=1", http.StatusNotFound},
	}
	for _, step := range steps {
		if got, want := serve(db, http.MethodPost, step.path, "").Code, http.StatusNoContent; got != want {
			t.Errorf("%s: status = %d, want %d", step.path, got, want)
		}
		if got := serve(db, http.MethodGet, "/v1/row?key=a", "").Code; got != step.want {
			t.Errorf("after %s: status of a reading = %d, want %d", step.path, got, step.want)
		}
	}
	defer func() {
		if got := recover(); got != http.ErrAbortHandler || db.Rev() != 1 {
			t.Errorf("a lost answer ended with %v at revision %d, want %v at 1", got, db.Rev(), http.ErrAbortHandler)
		}
	}()
	serve(db, http.MethodPost, "/v1/write", `[{"key":"a","rev":0}]`)
}

// Anything may arrive as the body of a write. The service takes it whole or leaves the table as it was.
func FuzzWrite(f *testing.F) {
	f.Add(`[{"key":"a/1","value":"eA==","rev":0}]`)
	f.Add(`[{"key":"a/1","rev":0},{"key":"a/1","rev":0}]`)
	f.Add(`[{"key":"a/1","rev":-1,"gone":true}]`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, body string) {
		db := rowdb.NewDB()
		answer := serve(db, http.MethodPost, "/v1/write", body)
		switch answer.Code {
		case http.StatusOK, http.StatusBadRequest, http.StatusConflict:
		default:
			t.Errorf("status of %q = %d, want 200, 400 or 409", body, answer.Code)
		}
		var got reply.Reply
		if err := json.Unmarshal(answer.Body.Bytes(), &got); err != nil {
			t.Fatalf("the answer %q is no reply: %v", answer.Body, err)
		}
		if got.Rev != db.Rev() {
			t.Errorf("the answer names revision %d, want %d", got.Rev, db.Rev())
		}
	})
}
