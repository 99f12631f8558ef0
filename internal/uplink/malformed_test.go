package uplink_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/pkg/verd"
)

// headPatience is how long a test waits for the verdict on an answer's head.
const headPatience = 2 * time.Second

// longHead is more than a connection's reader buffers, in bytes.
const longHead = 20 << 10

// An upstream in trouble sends a status that does not exist, or a line in the head whose field name is none. What follows may belong to anything: passed on, its
// caller would take for an answer what is none, and a length under such a name would end the body elsewhere.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const id, length = "Id: 1\r\n", "Content-Length: 3\r\n"
	for _, head := range []string{
		"HTTP/1.1 000 None\r\n" + id + length, "HTTP/1.1 000 None\r\n" + id + "Content-Length: 0\r\n", "HTTP/1.1 099 None\r\n" + id + length, "HTTP/1.1 600 None\r\n" + id + length,
		"HTTP/1.1 999 None\r\n" + id + length, "HTTP/1.1 +20 None\r\n" + id + length, "HTTP/1.1 -00 None\r\n" + id + length, "HTTP/2.0 200 OK\r\n" + id + length, "HTTP/1.1  200 OK\r\n" + id + length,
		"HTTP/1.1 200 OK\r\n" + id + length + "Two Words: x\r\n", "HTTP/1.1 200 OK\r\n" + id + length + "Blank : x\r\n", "HTTP/1.1 200 OK\r\n" + id + "Content-Length : 3\r\n",
		"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding : chunked\r\n", "HTTP/1.1 200 OK\r\n" + id + length + " Leading: x\r\n", "HTTP/1.1 200 OK\r\n" + id + length + "Server: a\r\n\tLeading: x\r\n",
		"HTTP/1.1 200 OK\r\n Leading: x\r\n" + id + length, "HTTP/1.1 200 OK\r\n" + id + length + "Tab\tbed: x\r\n", "HTTP/1.1 200 OK\r\n" + id + length + "Nul\x00: x\r\n",
		"HTTP/1.1 200 OK\r\n" + id + length + "Bell\x07: x\r\n", "HTTP/1.1 200 OK\r\n" + id + length + "Delete\x7f: x\r\n", "HTTP/1.1 200 OK\r\n" + id + length + ": x\r\n",
		"HTTP/1.1 200 OK\r\n" + id + length + "Return\r: x\r\n", "HTTP/1.1 103 Early Hints\r\nTwo Words: x\r\n\r\nHTTP/1.1 200 OK\r\n" + id + length,
	} {
		s := newServer(t, head+"\r\none")
		ctx, cancel := context.WithTimeout(t.Context(), headPatience)
		d := demand.Demand{ID: "1", Method: "POST", Host: "a", URI: "/x"}
		r, err := newUplink().Do(ctx, s.l.Addr().String(), d, nil, func() bool { return true })
		switch {
		case err == nil:
			t.Errorf("%q: status %d, want an error", head, r.Status)
			r.Close()
		case ctx.Err() != nil:
			t.Errorf("%q: no verdict within %v, want one at once", head, headPatience)
		case verd.Of(err) != verd.MayHaveRun:
			t.Errorf("%q: verdict %v, want %v", head, verd.Of(err), verd.MayHaveRun)
		}
		cancel()
	}
}

// Heads that look odd and are well formed go on being answers, one after the other on a connection: long ones, with bare line feeds, with
// colons and blanks in values, and interim ones before them.
func TestWellFormedHeadsAreAnswers(t *testing.T) {
	texts := []string{
		"HTTP/1.1 200\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.0 200 OK\nId: 1\nConnection: keep-alive\nContent-Length: 3\n\none",
		"HTTP/1.1 200 All  is well: yes\r\nid:1\r\nX-Odd!#$%&'*+-.^_`|~9: a: b \x80 c\r\nEmpty:\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", longHead) + "\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
	}
	s, u := newServer(t, texts...), newUplink()
	for _, text := range texts {
		if got, err := ask(t, u, s, "1"); err != nil || got != "one" {
			t.Errorf("%.80q: answer = %q, %v, want %q", text, got, err, "one")
		}
	}
}
