package uplink_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/doubt"
	"damaskreach/internal/uplink"
	"damaskreach/pkg/verd"
)

// server accepts connections and answers the nth request over all of them with the nth text.
type server struct {
	l       net.Listener
	closing bool          // connections end with the first answer
	gone    chan struct{} // gets one for each connection that the client has closed
	texts   chan string
	seen    chan string
}

func newServer(t *testing.T, texts ...string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() = %v, want nil", err)
	}
	s := &server{l: l, texts: make(chan string, len(texts)), seen: make(chan string, 16), gone: make(chan struct{}, 16)}
	for _, text := range texts {
		s.texts <- text
	}
	t.Cleanup(func() { l.Close() })
	go s.run()
	return s
}

func (s *server) run() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			s.gone <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.seen <- r.Method + " " + r.RequestURI + " " + string(body) + " from " + c.RemoteAddr().String()
		text := <-s.texts
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil || s.closing {
			return
		}
	}
}

func notRun(_ http.Header, _ int, h http.Header) (stated bool, d doubt.Doubt) {
	if h.Get("Not-Run") == "" {
		return false, doubt.None
	}
	if h.Get("Id") == "" {
		return true, doubt.Unnamed
	}
	return true, doubt.None
}

func newUplink() *uplink.Uplink {
	return &uplink.Uplink{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		},
		AnswerID: func(h http.Header) string { return h.Get("Id") }, NotRun: notRun,
	}
}

func ask(t *testing.T, u *uplink.Uplink, s *server, id string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := u.Do(ctx, s.l.Addr().String(), demand.Demand{ID: id, Method: "POST", Host: "a", URI: "/x?y=%2f", Body: []byte("b")}, nil, func() bool { return true })
	if err != nil {
		return "", err
	}
	defer r.Close()
	data, err := io.ReadAll(r.Body)
	return string(data), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// An upstream answers a request twice. The second answer comes where that to the next request is expected, whose caller must not get it.
func TestDuplicateAnswerIsDropped(t *testing.T) {
	s := newServer(t, answer("1", "one")+answer("1", "one"), answer("2", "two"))
	u := newUplink()
	for _, c := range []struct{ id, want string }{{"1", "one"}, {"2", "two"}} {
		got, err := ask(t, u, s, c.id)
		if err != nil || got != c.want {
			t.Errorf("answer to %s = %q, %v, want %q", c.id, got, err, c.want)
		}
	}
}

// The duplicate answer comes late, after the next request was sent on the connection. It must be skipped by its id.
func TestLateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	s := newServer(t, answer("1", "one"), answer("1", "one")+answer("2", "two"))
	u := newUplink()
	for _, c := range []struct{ id, want string }{{"1", "one"}, {"2", "two"}} {
		got, err := ask(t, u, s, c.id)
		if err != nil || got != c.want {
			t.Errorf("answer to %s = %q, %v, want %q", c.id, got, err, c.want)
		}
	}
}

// A reused connection breaks when a request is sent on it. The request may have run, so it must not be retried silently, and the error must say
// so.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	s := newServer(t, answer("1", "one"), "", answer("2", "two"))
	u := newUplink()
	if _, err := ask(t, u, s, "1"); err != nil {
		t.Fatalf("first answer: %v, want none", err)
	}
	_, err := ask(t, u, s, "2")
	if err == nil {
		t.Fatal("second answer, want an error")
	}
	if got, want := verd.Of(err), verd.MayHaveRun; got != want {
		t.Errorf("verdict = %v, want %v", got, want)
	}
	if got, want := len(s.seen), 2; got != want {
		t.Errorf("requests at the upstream = %d, want %d", got, want)
	}
}

// An upstream refuses the connection. Nothing was sent, so the error must say that the request may be sent to another one.
func TestRefusedConnectionHasNotRun(t *testing.T) {
	s := newServer(t)
	s.l.Close()
	_, err := ask(t, newUplink(), s, "1")
	if got, want := verd.Of(err), verd.NotRun; err == nil || got != want {
		t.Errorf("verdict = %v of %v, want %v", got, err, want)
	}
}

// Path, query and body must reach the upstream unchanged, and the connection must be reused.
func TestRequestIsForwardedUnchangedOnAReusedConnection(t *testing.T) {
	s := newServer(t, answer("1", "one"), answer("2", "two"))
	u := newUplink()
	var froms []string
	for _, id := range []string{"1", "2"} {
		if _, err := ask(t, u, s, id); err != nil {
			t.Fatalf("answer: %v, want none", err)
		}
		line, from, _ := strings.Cut(<-s.seen, " from ")
		froms = append(froms, from)
		if got, want := line, "POST /x?y=%2f b"; got != want {
			t.Errorf("request = %q, want %q", got, want)
		}
	}
	if froms[0] != froms[1] {
		t.Errorf("connections %s and %s, want one", froms[0], froms[1])
	}
}

// An upstream drops idle connections sooner than it announces, so that the next request on one is reset. After the first such request,
// connections that were idle for as long must not be used.
func TestConnectionsThatBreakWhenIdleAreNotKeptAsLong(t *testing.T) {
	s := newServer(t, answer("1", "one"), "", answer("3", "tri"), answer("4", "for"))
	u := newUplink()
	wait := 200 * time.Millisecond
	if _, err := ask(t, u, s, "1"); err != nil {
		t.Fatalf("first answer: %v, want none", err)
	}
	<-time.After(wait)
	if _, err := ask(t, u, s, "2"); err == nil {
		t.Fatal("second answer, want a reset")
	}
	if _, err := ask(t, u, s, "3"); err != nil {
		t.Fatalf("third answer: %v, want none", err)
	}
	<-time.After(wait)
	if _, err := ask(t, u, s, "4"); err != nil {
		t.Fatalf("fourth answer: %v, want none", err)
	}
	var froms []string
	for range 4 {
		_, from, _ := strings.Cut(<-s.seen, " from ")
		froms = append(froms, from)
	}
	if froms[2] == froms[3] {
		t.Error("the connection was used again after the same idle time, want a new one")
	}
}

// An upstream begins to shut down while a connection to it is opened, which takes long if its queue is full. The request must not be sent, and
// must count as not run.
func TestRequestIsNotSentToAnUpstreamThatLeftMeanwhile(t *testing.T) {
	s := newServer(t, answer("1", "one"))
	u := newUplink()
	left, dial := false, u.Dial
	u.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		left = true
		return dial(ctx, addr)
	}
	_, err := u.Do(t.Context(), s.l.Addr().String(), demand.Demand{ID: "1", Method: "POST", Host: "a", URI: "/x"}, nil, func() bool { return !left })
	if got, want := verd.Of(err), verd.NotRun; !errors.Is(err, uplink.ErrLeft) || got != want {
		t.Errorf("Do() = %v with verdict %v, want %v with %v", err, got, uplink.ErrLeft, want)
	}
	select {
	case seen := <-s.seen:
		t.Errorf("the upstream got %q, want nothing", seen)
	default:
	}
}

// A request is canceled just before it is sent on a reused connection. If it were sent, it could run although nobody waits for the answer.
func TestCanceledRequestIsNotSent(t *testing.T) {
	s := newServer(t, answer("1", "one"), answer("2", "two"))
	u := newUplink()
	if _, err := ask(t, u, s, "1"); err != nil {
		t.Fatalf("first answer: %v, want none", err)
	}
	<-s.seen
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := u.Do(ctx, s.l.Addr().String(), demand.Demand{ID: "2", Method: "POST", Host: "a", URI: "/x"}, nil, func() bool { return true })
	if got, want := verd.Of(err), verd.NotRun; !errors.Is(err, context.Canceled) || got != want {
		t.Errorf("Do() = %v with verdict %v, want %v with %v", err, got, context.Canceled, want)
	}
	select {
	case seen := <-s.seen:
		t.Errorf("the upstream got %q, want nothing", seen)
	case <-time.After(50 * time.Millisecond):
	}
}

// An upstream sends the head of an error and then nothing more. The request is retried elsewhere after that answer is closed, so closing it must not
// wait for its body.
func TestClosingAnAnswerDoesNotWaitForItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		u := newUplink()
		u.Dial = func(context.Context, string) (net.Conn, error) { return near, nil }
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				t.Errorf("reading the request: %v", err)
			}
			if _, err := io.WriteString(far, "HTTP/1.1 500 Failed\r\nId: 1\r\nContent-Length: 9\r\n\r\n"); err != nil {
				t.Errorf("answering: %v", err)
			}
		}()
		r, err := u.Do(t.Context(), "up:1", demand.Demand{ID: "1", Method: "GET", Host: "a", URI: "/x"}, nil, func() bool { return true })
		if err != nil {
			t.Fatalf("Do() = %v, want nil", err)
		}
		closed := make(chan struct{})
		go func() {
			r.Close()
			close(closed)
		}()
		synctest.Wait()
		select {
		case <-closed:
		default:
			t.Error("closing the answer waits for its body")
		}
	})
}

// An answer without length or chunks ends with its connection, and so does one whose upstream crashes. The reader must learn which answers these
// are, to look whether the upstream is still there.
func TestAnswerWithoutLengthIsUnframed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for text, want := range map[string]bool{
		head + "\r\nx": true, answer("1", "x"): false, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n": false,
	} {
		s := newServer(t, text)
		d := demand.Demand{ID: "1", Method: "POST", Host: "a", URI: "/x"}
		r, err := newUplink().Do(t.Context(), s.l.Addr().String(), d, nil, func() bool { return true })
		if err != nil {
			t.Fatalf("Do() = %v, want nil", err)
		}
		if got := r.Unframed; got != want {
			t.Errorf("answer %q: unframed = %v, want %v", text, got, want)
		}
		r.Cut()
		r.Close()
	}
}

// An upstream tells several times that it is still at work before it answers. Counted like answers to other requests, these would end a sound
// connection.
func TestInterimAnswersAreSkipped(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	s := newServer(t, interim+interim+interim+interim+answer("1", "one"))
	if got, err := ask(t, newUplink(), s, "1"); err != nil || got != "one" {
		t.Errorf("answer = %q, %v, want %q", got, err, "one")
	}
}
