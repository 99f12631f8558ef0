//go:build !race

package deliv_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/adapt"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/trial"
	"damaskreach/pkg/head"
)

var update = flag.Bool("update", false, "write the golden files of sessions anew")

// session records what a caller sends and receives, and what the upstreams executed.
type session struct {
	f   *trial.Trial
	out bytes.Buffer
	n   int
}

// dialer is the address from which an owner dialled, which depends on who owns the service.
var dialer = regexp.MustCompile(`dial tcp [0-9.:]+`)

var shown = []string{"Content-Type", "Retry-After", "Allow", head.Request, head.Verdict, head.Replayed}

// do sends one request to a node; headers come in pairs of name and value.
func (s *session) do(ctx context.Context, node int, method, path, body string, headers ...string) {
	s.n++
	req, err := http.NewRequestWithContext(ctx, method, "http://"+site.Host(node)+":8000"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+site.APIKey)
	req.Header.Set(head.Request, fmt.Sprintf("request-%d", s.n))
	fmt.Fprintf(&s.out, "> node %d: %s %s\n", node, method, path)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
		fmt.Fprintf(&s.out, "> %s: %s\n", headers[i], headers[i+1])
	}
	if body != "" {
		fmt.Fprintf(&s.out, "> %.200s\n", body)
	}
	res, err := s.f.Site.Caller().Do(req)
	if err != nil {
		s.out.WriteString("< no answer\n\n")
		return
	}
	defer func() { _ = res.Body.Close() }()
	fmt.Fprintf(&s.out, "< %d\n", res.StatusCode)
	for _, name := range shown {
		if value := res.Header.Get(name); value != "" {
			fmt.Fprintf(&s.out, "< %s: %s\n", name, value)
		}
	}
	text, err := io.ReadAll(res.Body)
	text = dialer.ReplaceAll(text, []byte("dial tcp OWNER"))
	if strings.HasPrefix(path, "/v1/entries") {
		text = sorted(text)
	}
	s.out.WriteString("\n" + strings.TrimSpace(string(text)) + "\n")
	if err != nil {
		s.out.WriteString("< the connection broke\n")
	}
	s.out.WriteString("\n")
}

// sorted returns a discovery answer with its entries sorted: their order follows the nodes' random session ids.
func sorted(text []byte) []byte {
	var answer struct {
		Entries []string `json:"entries"`
		Life    float64  `json:"life_seconds"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return text
	}
	slices.Sort(answer.Entries)
	return fmt.Appendf(nil, "%q for %v seconds", answer.Entries, answer.Life)
}

// say records a line about an event.
func (s *session) say(format string, args ...any) {
	fmt.Fprintf(&s.out, "# "+format+"\n\n", args...)
}

// records records what the upstreams executed.
func (s *session) records() {
	for _, r := range s.f.Records() {
		fmt.Fprintf(&s.out, "= %s %s executed %s, %d tokens after %d, %s\n", r.Method, r.Path, r.Request+" "+r.Model, r.Tokens, r.From, r.End)
	}
}

func completion(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%v}`, model, prompt, tokens, stream)
}

const (
	completions = "/v1/completions"
	slots       = "/plain/bookings/slots"
)

func sessions() map[string]func(ctx context.Context, s *session) {
	return map[string]func(ctx context.Context, s *session){
		"stream": func(ctx context.Context, s *session) {
			s.do(ctx, 0, "GET", "/v1/entries?model="+trial.Model(0), "")
			s.do(ctx, 0, "POST", completions, completion(trial.Model(0), "pour schedule", 3, true))
			s.do(ctx, 1, "POST", completions, completion(trial.Model(0), "pour schedule", 3, false))
		},
		"refusals": refusals,
		"repeat": func(ctx context.Context, s *session) {
			s.do(ctx, 0, "POST", slots, booking, head.Key, "k")
			pass(time.Second)
			s.do(ctx, 1, "POST", slots, booking, head.Key, "k")
			s.say("The service dies after it has executed the next booking.")
			s.f.Site.Plains[0].CrashAfter(1)
			s.do(ctx, 0, "POST", slots, `{"slot":8}`, head.Key, "l")
			pass(10 * time.Second)
			s.do(ctx, 2, "POST", slots, `{"slot":8}`, head.Key, "l")
		},
		"drain": func(ctx context.Context, s *session) {
			s.do(ctx, 0, "POST", completions, completion(trial.Model(0), "before", 1, false))
			s.say("Node 0 is drained. It serves on while callers may keep discovery's answer.")
			s.f.Site.Node(0).Drain()
			pass(3 * time.Second)
			s.do(ctx, 1, "GET", "/v1/entries", "")
			s.do(ctx, 0, "POST", completions, completion(trial.Model(0), "during", 1, false))
			pass(time.Minute)
			s.do(ctx, 0, "POST", completions, completion(trial.Model(0), "after", 1, false))
			s.do(ctx, 1, "POST", completions, completion(trial.Model(0), "after", 1, false))
		},
		"edit": func(ctx context.Context, s *session) {
			s.do(ctx, 0, "POST", completions, completion(site.AdapterName(0), "first", 1, false))
			s.say("An operator replaces version v1 of the adapter by v2.")
			row, err := s.f.Site.DB.Table().Read(ctx, site.Row("adapter", site.AdapterName(0), nil).Key)
			if err != nil {
				panic(err)
			}
			next := site.Row("adapter", site.AdapterName(0), adapt.Adapter{
				Name: site.AdapterName(0), Tenant: site.Tenant, Group: site.Writers, Versions: map[string]int{"v2": 1},
			})
			next.Rev = row.Rev
			if _, err := s.f.Site.DB.Table().Write(ctx, next); err != nil {
				panic(err)
			}
			pass(5 * time.Second)
			s.do(ctx, 1, "POST", completions, completion(site.AdapterName(0), "second", 1, false))
			s.do(ctx, 2, "POST", completions, completion(trial.Model(0), "third", 1, false))
		},
	}
}

func refusals(ctx context.Context, s *session) {
	s.do(ctx, 0, "POST", completions, "pour")
	s.do(ctx, 0, "POST", completions, completion("adapter-99@v1", "p", 1, false))
	s.do(ctx, 0, "POST", completions, completion(trial.Model(0), "p", 1, false), "Authorization", "Bearer x")
	s.do(ctx, 0, "POST", completions, `{"prompt":"`+strings.Repeat("x", 9<<20)+`"}`)
	s.do(ctx, 0, "DELETE", completions, "")
	s.do(ctx, 0, "GET", "/v2", "")
	s.say("The only booking service is down.")
	s.f.Site.Plains[0].Crash()
	s.do(ctx, 0, "GET", slots, "")
	pass(time.Minute)
	s.say("It dies after it has executed the next booking, which has no key.")
	s.f.Site.Plains[0].CrashAfter(2)
	s.do(ctx, 0, "POST", slots, booking)
	pass(time.Minute)
	s.say("Its caller sends it again, and it dies again; then it is not tried any more.")
	s.do(ctx, 1, "POST", slots, booking)
	pass(time.Minute)
	s.do(ctx, 2, "POST", slots, booking)
	s.say("A booking takes longer than its repeat waits.")
	s.f.Site.Plains[0].Slow(time.Minute)
	go s.f.Book(ctx, 0, "k", `{"slot":9}`)
	pass(time.Second)
	s.do(ctx, 1, "POST", slots, `{"slot":9}`, head.Key, "k")
	s.do(ctx, 1, "POST", slots, `{"slot":10}`, head.Key, "k")
	s.do(ctx, 1, "POST", slots, `{"slot":11}`, head.Timeout, "100ms")
	s.say("The table service is down.")
	s.f.Site.DB.SetDown(true)
	s.do(ctx, 1, "POST", slots, `{"slot":12}`, head.Key, "m")
	s.f.Site.DB.SetDown(false)
}

// Whole sessions of callers must stay as they are byte for byte: any change of what callers receive must show in the golden files.
func TestSessions(t *testing.T) {
	for name, play := range sessions() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &session{f: trial.NewTrial(1, 3, 1, 1)}
				if err := s.f.Start(); err != nil {
					t.Fatal(err)
				}
				play(t.Context(), s)
				s.f.Stop()
				s.records()
				compare(t, filepath.Join("testdata", name+".golden"), s.out.Bytes())
			})
		})
	}
}

func compare(t *testing.T, file string, got []byte) {
	t.Helper()
	if *update {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(want), "\n")
	for i, line := range strings.Split(string(got), "\n") {
		if i >= len(lines) || line != lines[i] {
			t.Fatalf("%s: line %d: got %q, want the file's", file, i+1, line)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%s: got %d bytes, want %d", file, len(got), len(want))
	}
}
