package client_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/memnet"
	"damaskreach/pkg/client"
	"damaskreach/pkg/head"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const callerHost = "10.0.2.1"

// node is a stand-in for a node: it answers discovery, and requests with the answers it was given, in turn.
type node struct {
	addr    string
	listed  []string
	answers []http.HandlerFunc
	asked   int // discovery questions
	got     []time.Time
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		n.asked++
		fmt.Fprintf(w, `{"entries":["%s"],"life_seconds":5}`, strings.Join(n.listed, `","`))
		return
	}
	n.got = append(n.got, time.Now())
	if len(n.answers) == 0 {
		whole(w, r)
		return
	}
	next := n.answers[0]
	n.answers = n.answers[1:]
	next(w, r)
}

func whole(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(head.Verdict, "ran")
	io.WriteString(w, "answer")
}

func breaks(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func refuses(status int, code, verdict string, retry int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"error":{"type":"damaskreach","code":%q,"verdict":%q,"retry_after_seconds":%d}}`, code, verdict, retry)
	}
}

// run calls test in a bubble with a client of two nodes.
func run(t *testing.T, test func(t *testing.T, c *client.Client, a, b *node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := memnet.NewNet(1)
		listed := []string{"10.0.0.1:80", "10.0.0.2:80"}
		var nodes []*node
		for _, addr := range listed {
			n := &node{addr: addr, listed: listed}
			nodes = append(nodes, n)
			l, err := net.Listen(addr)
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: n}
			go server.Serve(l)
			defer server.Close()
		}
		c := client.NewClient("key", listed[:1], net.Dial(callerHost))
		defer c.Close()
		test(t, c, nodes[0], nodes[1])
	})
}

// ask sends a request and returns its answer.
func ask(t *testing.T, c *client.Client, method, path string, headers ...string) (string, error) {
	t.Helper()
	req, err := http.NewRequest(method, path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := c.Do(t.Context(), "m", req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return string(text), err
}

func wantRefusal(t *testing.T, err error, code string, verdict verd.Verdict) {
	t.Helper()
	var r *refuse.Refusal
	if !errors.As(err, &r) || r.Code != code || r.Verdict != verdict {
		t.Errorf("got %v, want %s (%s)", err, code, verdict)
	}
}

// A node is leaving, another names a time to come back. The client goes on to the next node at once, and waits as long as
// it is told; the caller sees only the answer.
func TestFailsOverWhatDidNotRun(t *testing.T) {
	run(t, func(t *testing.T, c *client.Client, a, b *node) {
		a.answers = []http.HandlerFunc{refuses(503, refuse.Leaving, "not-run", 1)}
		b.answers = []http.HandlerFunc{refuses(503, refuse.Overloaded, "not-run", 3)}
		text, err := ask(t, c, "POST", "/plain/bookings/slots")
		if text != "answer" || err != nil {
			t.Errorf("got %q, %v, want the answer", text, err)
		}
		if wait := a.got[1].Sub(b.got[0]); wait < 3*time.Second || wait > 3100*time.Millisecond {
			t.Errorf("came back after %v, want the 3s it was told", wait)
		}
		if b.got[0].Sub(a.got[0]) > 100*time.Millisecond {
			t.Errorf("went on to the next node after %v, want at once", b.got[0].Sub(a.got[0]))
		}
	})
}

// A node cannot be reached at all. The client uses the next one, and the request is not counted as one that may have run.
func TestFailsOverANodeThatIsGone(t *testing.T) {
	run(t, func(t *testing.T, c *client.Client, a, _ *node) {
		a.listed = []string{"10.0.0.9:80", "10.0.0.2:80"}
		if text, err := ask(t, c, "POST", "/plain/bookings/slots"); text != "answer" || err != nil {
			t.Errorf("got %q, %v, want the answer", text, err)
		}
	})
}

// The connection breaks after a booking was sent, or the node says that it may have run. Sent again it could run twice, so
// its caller is told. A completion, and a booking with a key, are sent again.
func TestWhatMayHaveRunIsRepeatedOnlyIfThatIsSafe(t *testing.T) {
	cut := refuses(502, refuse.Crashed, "may-have-run", 1)
	cases := []struct {
		name, path string
		headers    []string
		first      http.HandlerFunc
		repeated   bool
	}{
		{"broken booking", "/plain/bookings/slots", nil, breaks, false},
		{"cut booking", "/plain/bookings/slots", nil, cut, false},
		{"booking with a key", "/plain/bookings/slots", []string{head.Key, "k"}, breaks, true},
		{"idempotent call", "/plain/bookings/slots", []string{head.Once, "false"}, cut, true},
		{"completion", "/v1/completions", nil, breaks, true},
		{"non-idempotent completion", "/v1/completions", []string{head.Once, "true"}, cut, false},
		{"outcome that stays", "/plain/bookings/slots", []string{head.Key, "k"}, refuses(409, refuse.Repeat, "may-have-run", 0), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(t *testing.T, cl *client.Client, a, b *node) {
				a.answers = []http.HandlerFunc{c.first}
				_, err := ask(t, cl, "POST", c.path, c.headers...)
				if got := len(a.got) + len(b.got); (got == 2) != c.repeated || (err == nil) != c.repeated {
					t.Errorf("sent %d times with the outcome %v, want it repeated: %v", got, err, c.repeated)
				}
				if !c.repeated && verd.Of(err) != verd.MayHaveRun {
					t.Errorf("got verdict %v, want may-have-run", verd.Of(err))
				}
			})
		})
	}
}

// The first try of a completion may have run, and all later ones certainly did not. Told of the last one only, the caller
// would take its request for one that did not run.
func TestVerdictCoversAllTries(t *testing.T) {
	run(t, func(t *testing.T, c *client.Client, a, b *node) {
		c.Tries = 3
		full := refuses(503, refuse.Overloaded, "not-run", 1)
		a.answers = []http.HandlerFunc{breaks, full, full}
		b.answers = []http.HandlerFunc{full, full}
		_, err := ask(t, c, "POST", "/v1/completions")
		wantRefusal(t, err, refuse.Overloaded, verd.MayHaveRun)
	})
}

// The client asks which nodes to use once in the stated life of the answer, not for every request, and again after it.
func TestDiscoveryAnswerIsKeptForItsLife(t *testing.T) {
	run(t, func(t *testing.T, c *client.Client, a, b *node) {
		for range 50 {
			if _, err := ask(t, c, "POST", "/v1/completions"); err != nil {
				t.Error(err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		if got := a.asked + b.asked; got < 2 || got > 3 {
			t.Errorf("asked %d times in 10s, want once in 5s", got)
		}
	})
}

// A plain service answers with an error of its own. That is its answer and not a refusal of the system.
func TestErrorsOfServicesAreAnswers(t *testing.T) {
	run(t, func(t *testing.T, c *client.Client, a, _ *node) {
		a.answers = []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(head.Verdict, "ran")
			w.WriteHeader(409)
			io.WriteString(w, `{"error":"the hall is taken"}`)
		}}
		if text, err := ask(t, c, "POST", "/plain/bookings/slots"); text != `{"error":"the hall is taken"}` || err != nil {
			t.Errorf("got %q, %v, want the service's words", text, err)
		}
	})
}

// Streams end at their mark, in an error event, or without either. Only the first is a whole answer.
func TestStream(t *testing.T) {
	const event = "data: {\"text\":\"a\"}\n\n"
	cases := []struct{ name, text, code string }{
		{"whole", event + event + "data: [DONE]\n\n", ""},
		{"error event", event + "event: error\ndata: {\"error\":{\"type\":\"damaskreach\",\"code\":\"crashed\",\"verdict\":\"may-have-run\"}}\n\n", refuse.Crashed},
		{"cut", event, refuse.Cut},
	}
	for _, c := range cases {
		run(t, func(t *testing.T, cl *client.Client, a, _ *node) {
			a.answers = []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, c.text) }}
			req, err := http.NewRequest("POST", "/v1/completions", strings.NewReader("{}"))
			if err != nil {
				t.Fatal(err)
			}
			events := 0
			err = cl.Stream(t.Context(), "m", req, func([]byte) error {
				events++
				return nil
			})
			if c.code == "" && (err != nil || events != 2) {
				t.Errorf("%s: got %d events and %v, want 2 and nil", c.name, events, err)
			}
			if c.code != "" {
				wantRefusal(t, err, c.code, verd.MayHaveRun)
			}
		})
	}
}
