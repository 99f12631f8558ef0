package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"damaskreach/internal/call"
	"damaskreach/internal/digest"
	"damaskreach/internal/entry"
	"damaskreach/pkg/head"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    string       `json:"code"`
	Verdict verd.Verdict `json:"verdict"`
}

// serve sends a request with the parish's key, which headers may replace.
func serve(e *entry.Entry, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	return w
}

// Callers send what cannot be served. Each is told what is wrong in one JSON form, with a verdict, and nothing is sent to
// any upstream.
func TestBadInput(t *testing.T) {
	const (
		completions = "/v1/completions"
		good        = `{"model":"adapter-0@v1","prompt":"p"}`
	)
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		code                     string
	}{
		{"no JSON", "POST", completions, "pour", nil, 400, refuse.BadRequest},
		{"half JSON", "POST", completions, `{"model":`, nil, 400, refuse.BadRequest},
		{"an array", "POST", completions, `[]`, nil, 400, refuse.BadRequest},
		{"two values", "POST", completions, good + good, nil, 400, refuse.BadRequest},
		{"null", "POST", completions, `null`, nil, 400, refuse.BadRequest},
		{"empty", "POST", completions, "", nil, 400, refuse.BadRequest},
		{"model absent", "POST", completions, `{"prompt":"p"}`, nil, 400, refuse.BadRequest},
		{"model of another type", "POST", completions, `{"model":7}`, nil, 400, refuse.BadRequest},
		{"no tokens", "POST", completions, `{"model":"adapter-0","max_tokens":0}`, nil, 400, refuse.BadRequest},
		{"unknown adapter", "POST", completions, `{"model":"adapter-9@v1"}`, nil, 404, refuse.UnknownModel},
		{"unknown version", "POST", completions, `{"model":"adapter-0@v9"}`, nil, 404, refuse.UnknownModel},
		{"another tenant's adapter", "POST", completions, `{"model":"others@v1"}`, nil, 404, refuse.UnknownModel},
		{"body too large", "POST", completions, `{"prompt":"` + strings.Repeat("x", maxBody) + `"}`, nil, 413, refuse.TooLarge},
		{"no key", "POST", completions, good, []string{"Authorization", ""}, 403, refuse.Forbidden},
		{"wrong key", "POST", completions, good, []string{"Authorization", "Bearer x"}, 403, refuse.Forbidden},
		{"priority", "POST", completions, good, []string{head.Priority, "high"}, 400, refuse.BadRequest},
		{"priority out of range", "POST", completions, good, []string{head.Priority, "10"}, 400, refuse.BadRequest},
		{"timeout", "POST", completions, good, []string{head.Timeout, "5"}, 400, refuse.BadRequest},
		{"timeout in the past", "POST", completions, good, []string{head.Timeout, "-1s"}, 400, refuse.BadRequest},
		{"non-idempotent", "POST", completions, good, []string{head.Once, "perhaps"}, 400, refuse.BadRequest},
		{"long key", "POST", completions, good, []string{head.Key, strings.Repeat("k", 300)}, 400, refuse.BadRequest},
		{"headers too large", "POST", completions, good, []string{"X-Note", strings.Repeat("n", maxHeader)}, 431, refuse.LargeHeader},
		{"wrong method", "GET", completions, "", nil, 405, refuse.BadMethod},
		{"wrong method of discovery", "POST", "/v1/entries", "", nil, 405, refuse.BadMethod},
		{"no such route", "GET", "/v2/models", "", nil, 404, refuse.NoRoute},
		{"unknown service", "POST", "/plain/halls/slots", "{}", nil, 404, refuse.UnknownModel},
		{"an engine group as a service", "POST", "/plain/writers/slots", "{}", nil, 404, refuse.UnknownModel},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEntry()
			e.Run = func(context.Context, digest.Digest, call.Call, func(int, string) error, func(int, []byte) error) error {
				t.Error("the request was sent to an upstream")
				return nil
			}
			w := serve(e, c.method, c.path, c.body, c.headers...)
			var said errorBody
			err := json.Unmarshal(w.Body.Bytes(), &said)
			if err != nil || w.Code != c.status || said.Error.Code != c.code || said.Error.Verdict != verd.NotRun || said.Error.Message == "" {
				t.Errorf("got %d %s, want %d %s with verdict not-run and a message", w.Code, w.Body, c.status, c.code)
			}
			if got := w.Header().Get(head.Verdict); got != "not-run" {
				t.Errorf("got verdict header %q, want not-run", got)
			}
			if c.status == http.StatusMethodNotAllowed && w.Header().Get("Allow") == "" {
				t.Error("got no Allow header, want the methods of the path")
			}
		})
	}
}

// Callers' bodies and headers are arbitrary bytes. Whatever they are, the answer is an answer or a refusal in JSON with a
// verdict, and an upstream gets the adapter version that was resolved.
func FuzzRequest(f *testing.F) {
	f.Add(`{"model":"adapter-0@v1","prompt":"p"}`, "k", "true", "3", "5s")
	f.Add(`{"model":"adapter-0","messages":[{"role":"user"}],"max_tokens":5,"stream":true}`, "", "", "-9", "1ms")
	f.Add(`{"model":"adapter-0","model":"others@v1"}`, "", "no", "", "")
	f.Add(`{"Model":"adapter-0@v1"}`, "", "", "", "")
	f.Add("null", "\x00", "1", "1e3", "9999999h")
	f.Fuzz(func(t *testing.T, body, key, once, priority, timeout string) {
		e := newEntry()
		answer := e.Run
		e.Run = func(ctx context.Context, d digest.Digest, c call.Call, hd func(int, string) error, emit func(int, []byte) error) error {
			var sent map[string]json.RawMessage
			if json.Unmarshal(c.Body, &sent) != nil || string(sent["model"]) != `"adapter-0@v1"` {
				t.Errorf("an upstream got %q, want the model adapter-0@v1", c.Body)
			}
			for name := range sent {
				if strings.EqualFold(name, "model") && name != "model" {
					t.Errorf("an upstream got a second model in %q", c.Body)
				}
			}
			return answer(ctx, d, c, hd, emit)
		}
		w := serve(e, "POST", "/v1/completions", body, head.Key, key, head.Once, once, head.Priority, priority, head.Timeout, timeout)
		if w.Code != http.StatusOK && !json.Valid(w.Body.Bytes()) || w.Header().Get(head.Verdict) == "" {
			t.Errorf("got %d %q, want an answer or JSON, with a verdict", w.Code, w.Body)
		}
	})
}
