package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/digest"
	"damaskreach/internal/entry"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// post sends a completion to e and returns the answer and when it was complete.
func post(e *entry.Entry, headers ...string) (*httptest.ResponseRecorder, time.Time) {
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"adapter-0@v1","prompt":"p"}`))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	return w, time.Now()
}

// Whatever makes a request hopeless, its caller must not wait on: a refusal that is held back keeps a crew waiting for an
// answer that will not come. No time passes between the moment at which the last try has failed and the answer, and the
// answer says when to come back.
func TestRequestGivenUpIsAnsweredAtOnce(t *testing.T) {
	cases := map[string]struct {
		choose  *refuse.Refusal
		run     error
		headers []string
	}{
		"no runner":              {choose: refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "none")},
		"full":                   {choose: refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "full")},
		"crash of a booking":     {run: refuse.NewRefusal(verd.MayHaveRun, refuse.Crashed, "broke"), headers: []string{entry.HeaderOnce, "true"}},
		"crash of each upstream": {run: refuse.NewRefusal(verd.MayHaveRun, refuse.Crashed, "broke")},
		"deadline":               {run: context.DeadlineExceeded, headers: []string{entry.HeaderTimeout, "100ms"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var failed time.Time
				e := newEntry()
				e.Choose = func(context.Context, call.Call, []string) (digest.Digest, error) {
					time.Sleep(time.Millisecond)
					failed = time.Now()
					if c.choose != nil {
						return digest.Digest{}, c.choose
					}
					return digest.Digest{Runner: "r"}, nil
				}
				e.Run = func(ctx context.Context, _ digest.Digest, _ call.Call, _ func(int, string) error, _ func(int, []byte) error) error {
					time.Sleep(time.Second)
					failed = time.Now()
					return c.run
				}
				w, ended := post(e, append(c.headers, entry.HeaderRequest, "r")...)
				if !ended.Equal(failed) {
					t.Errorf("answered %v after the request was given up, want at once", ended.Sub(failed))
				}
				if w.Code < 500 || w.Header().Get("Retry-After") == "" || w.Header().Get(entry.HeaderVerdict) == "" {
					t.Errorf("got status %d and headers %v, want a refusal with Retry-After and verdict", w.Code, w.Header())
				}
			})
		})
	}
}
