package proxy_test

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/began"
	"damaskreach/internal/resp"
	"damaskreach/pkg/refuse"
)

// newBuildBench returns a bench whose upstreams "one" and "two" run builds v1 and v2 of their software.
func newBuildBench(t *testing.T) *bench {
	b := newBench(t, streamRoute())
	b.setBuild("one", "v1")
	b.setBuild("two", "v2")
	return b
}

// The engine that began a stream breaks off, and only one of another build is left. What that one writes does not fit, so the stream must break
// off, and at once: no engine that takes new requests could go on with it.
func TestStreamDoesNotGoOnAtAnotherBuild(t *testing.T) {
	b := newBuildBench(t)
	b.recentBuilds = []string{"v2"} // so that it begins at v1
	b.setAnswers(func(s sent) (r resp.Resp, err error) {
		r, err = answers(200, nil, "id: 1\ndata: a\n\nid: 2\nda", errors.New("reset"))(s)
		one := b.view.Targets["one"]
		one.Draining = true
		b.view.Targets["one"] = one
		return r, err
	})
	rec, broken := b.call(nil)
	if !broken {
		t.Error("the answer looks whole, want the connection broken off")
	}
	if got, want := rec.Body.String(), "id: 1\ndata: a\n\n"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
	if got, want := b.origins, []began.Began{{Attempt: "r1", Group: "g", Build: "v1"}}; !slices.Equal(got, want) {
		t.Errorf("recorded origins = %+v, want %+v", got, want)
	}
}

// A caller comes back with a stream that another host began. It must go on at the build that began it, however busy that is.
func TestResumedStreamGoesToTheBuildThatBeganIt(t *testing.T) {
	for _, build := range []string{"v1", "v2"} {
		b := newBuildBench(t)
		b.builds = map[string]string{"first": build}
		b.setAnswers(answers(200, nil, "id: 8\ndata: x\n\n", nil))
		b.call(http.Header{headLastEvent: {"7"}, headResumes: {"first"}})
		if got, want := b.view.Targets[b.sent[0].extra.Get(headTarget)].Build, build; got != want {
			t.Errorf("resumed at build %q, want %q", got, want)
		}
		if len(b.origins) > 0 {
			t.Errorf("recorded origins = %+v, want none for a resumed stream", b.origins)
		}
	}
}

// All engines of the build that began a stream are gone. The caller must be told so at once, not after waiting for one.
func TestResumedStreamOfABuildThatIsGoneIsRefused(t *testing.T) {
	b := newBuildBench(t)
	b.builds = map[string]string{"first": "v0"}
	rec, _ := b.call(http.Header{headLastEvent: {"7"}, headResumes: {"first"}})
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want || !strings.Contains(rec.Body.String(), refuse.NoBuild) {
		t.Errorf("answer = %d %s, want %d, %s", got, rec.Body, want, refuse.NoBuild)
	}
}

// Nobody knows which build began the stream that a caller comes back with. A guess could garble it, so the caller is told at once that the
// request has not run.
func TestResumedStreamOfUnknownOriginIsRefused(t *testing.T) {
	b := newBuildBench(t)
	rec, _ := b.call(http.Header{headLastEvent: {"7"}, headResumes: {"first"}})
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want || !strings.Contains(rec.Body.String(), refuse.NoOrigin) {
		t.Errorf("answer = %d %s, want %d, %s", got, rec.Body, want, refuse.NoOrigin)
	}
	if len(b.sent) > 0 {
		t.Errorf("sent to %v, want nothing sent", b.sent)
	}
}

// A stream falls silent after its first event, and only an engine of another build has room. It must not be moved there: it stays where it is, and
// ends whole once its engine goes on.
func TestSilentStreamIsNotMovedToAnotherBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		b.setBuild("one", "v1")
		b.setBuild("two", "v2")
		cuts := 0
		b.setAnswers(pausesFor(3*time.Second, &cuts), answers(http.StatusOK, nil, lastEvent, nil))
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
			t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
		}
		if got, want := len(b.sent), 1; got != want {
			t.Errorf("sent to %d engines, want %d", got, want)
		}
	})
}
