package admin_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"damaskreach/internal/admin"
	"damaskreach/internal/catlog"
	"damaskreach/internal/digest"
	"damaskreach/internal/event"
	"damaskreach/internal/meter"
	"damaskreach/internal/query"
	"damaskreach/internal/reason"
	"damaskreach/internal/sess"
)

const key = "an operator's key"

func sum(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

// server returns an operators' side with one decision in its journals; asked and drained tell what was done.
func server(operators ...string) (a *admin.Admin, asked *query.Query, drained *int) {
	asked, drained = new(query.Query), new(int)
	return &admin.Admin{
		Session:   func() sess.Session { return sess.Session{Node: "n1"} },
		Nodes:     func() []sess.Session { return nil },
		Digests:   func() []digest.Digest { return []digest.Digest{{Runner: "r1", Sick: true}} },
		Catalog:   func() catlog.Catalog { return catlog.NewCatalog() },
		Drain:     func() { *drained++ },
		Operators: func() []string { return operators },
		Meter:     meter.NewMeter(),
		Explain: func(_ context.Context, q query.Query) ([]event.Event, []string) {
			*asked = q
			why := reason.Reason{Kind: "unload", Text: "it was <b>cheap</b>", Model: "a@v1"}
			return []event.Event{{Node: "n2", Why: why}}, []string{"10.0.0.3:7000"}
		},
	}, asked, drained
}

func do(a *admin.Admin, method, path string, auth func(r *http.Request)) (int, string) {
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(method, path, nil)
	auth(request)
	a.Handler().ServeHTTP(answer, request)
	return answer.Code, answer.Body.String()
}

// Whoever reaches the operators' port could read who asks for what, or shut the node down. A browser that is logged in
// sends its password with every request, also with one that a foreign page makes it send: that must change nothing.
func TestWhoMayDoWhat(t *testing.T) {
	nobody := func(*http.Request) {}
	bearer := func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+key) }
	wrong := func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+sum(key)) }
	empty := func(r *http.Request) { r.Header.Set("Authorization", "Bearer ") }
	browser := func(r *http.Request) { r.SetBasicAuth("kim", key) }
	for _, c := range []struct {
		name      string
		operators []string
		auth      func(r *http.Request)
		read      int
		drain     int
	}{
		{"no keys set, nobody", nil, nobody, 200, 403},
		{"no keys set, some key", nil, bearer, 200, 403},
		{"keys set, nobody", []string{sum(key)}, nobody, 401, 401},
		{"keys set, wrong key", []string{sum(key)}, wrong, 401, 401},
		{"keys set, empty key", []string{sum("")}, empty, 401, 401},
		{"keys set, right key", []string{sum("other"), sum(key)}, bearer, 200, 202},
		{"keys set, browser", []string{sum(key)}, browser, 200, 401},
	} {
		a, _, drained := server(c.operators...)
		for _, path := range []string{"/status", "/explain?request=x", "/metrics", "/"} {
			if got, _ := do(a, http.MethodGet, path, c.auth); got != c.read {
				t.Errorf("%s: GET %s = %d, want %d", c.name, path, got, c.read)
			}
		}
		got, _ := do(a, http.MethodPost, "/drain", c.auth)
		if want := map[bool]int{true: 1}[c.drain == 202]; got != c.drain || *drained != want {
			t.Errorf("%s: POST /drain = %d and drained %d times, want %d and %d", c.name, got, *drained, c.drain, want)
		}
	}
}

func TestExplainPassesTheQuestionOn(t *testing.T) {
	a, asked, _ := server()
	before := time.Now()
	_, text := do(a, http.MethodGet, "/explain?request=q&adapter=b&runner=r&since=10m&most=5", func(*http.Request) {})
	if asked.Request != "q" || asked.Adapter != "b" || asked.Runner != "r" || asked.Most != 5 {
		t.Errorf("asked %+v, want what the request named", *asked)
	}
	if back := before.Sub(asked.Since); back < 9*time.Minute || back > 11*time.Minute {
		t.Errorf("since lies %s back, want 10m", back)
	}
	for _, want := range []string{`"kind":"unload"`, `"silent":["10.0.0.3:7000"]`, `(model a@v1)."`} {
		if !strings.Contains(text, want) {
			t.Errorf("got %s, want %s in it", text, want)
		}
	}
	if code, _ := do(a, http.MethodGet, "/explain?since=yesterday", func(*http.Request) {}); code != http.StatusBadRequest {
		t.Errorf("a time that cannot be read = %d, want 400", code)
	}
}

// Names on the page come from callers and engines. One that holds markup must not become part of the page, where it could
// act with the operator's key.
func TestPageEscapesAndNamesWhoIsSilent(t *testing.T) {
	a, _, _ := server()
	_, text := do(a, http.MethodGet, "/?about=%3Cscript%3E", func(*http.Request) {})
	for _, want := range []string{"<h1>n1</h1>", "it was &lt;b&gt;cheap&lt;/b&gt;", "No answer from: 10.0.0.3:7000", "does not answer", `value="&lt;script&gt;"`} {
		if !strings.Contains(text, want) {
			t.Errorf("got %s, want %s in it", text, want)
		}
	}
	if strings.Contains(text, "<script>") {
		t.Errorf("the page holds a caller's markup:\n%s", text)
	}
}
