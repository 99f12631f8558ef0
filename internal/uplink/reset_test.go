package uplink_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/dialer"
	"damaskreach/internal/resp"
	"damaskreach/internal/uplink"
)

// unending is the head of an answer without a length and the begin of its body.
const unending = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf"

// upload sends a request with a long body to an upstream that reads its head and then does as told.
func upload(t *testing.T, then func(c *net.TCPConn, body io.Reader)) resp.Resp {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() = %v, want nil", err)
	}
	var upstream sync.WaitGroup
	upstream.Go(func() {
		c, err := l.Accept()
		if err != nil {
			t.Errorf("accepting: %v", err)
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			t.Errorf("reading the request's head: %v", err)
			return
		}
		then(c.(*net.TCPConn), r.Body)
	})
	t.Cleanup(func() {
		l.Close()
		upstream.Wait()
	})
	u := &uplink.Uplink{Dial: dialer.Dial, AnswerID: func(h http.Header) string { return h.Get("Id") }, NotRun: notRun}
	d := demand.Demand{ID: "1", Method: "POST", Host: "a", URI: "/x", Body: make([]byte, longBody)}
	r, err := u.Do(t.Context(), l.Addr().String(), d, nil, func() bool { return true })
	if err != nil {
		t.Fatalf("Do() = %v, want nil", err)
	}
	t.Cleanup(r.Close)
	return r
}

// An upstream answers a long upload at once and without a length, sends part of its body and resets the connection while the upload is still written. The
// kernel tells one of the two that use the connection: where that is the writer, the reader sees an end like that of a whole answer.
func TestPartOfAnAnswerBeforeAResetIsNotWhole(t *testing.T) {
	for range 5 {
		reset := make(chan struct{})
		r := upload(t, func(c *net.TCPConn, _ io.Reader) {
			defer close(reset)
			if _, err := io.WriteString(c, unending); err != nil {
				t.Errorf("answering: %v", err)
			}
			<-time.After(20 * time.Millisecond) // the upload fills the kernel's buffers meanwhile
			_ = c.SetLinger(0)
			c.Close()
		})
		<-reset
		<-time.After(20 * time.Millisecond) // the writer is told first
		if got, err := io.ReadAll(r.Body); err == nil {
			t.Errorf("answer = %q without an error, want one", got)
		}
	}
}

// endEarly has an upstream mark the end of its answer before it does something with the upload.
func endEarly(t *testing.T, then func(c *net.TCPConn, body io.Reader)) (got []byte, err error) {
	t.Helper()
	r := upload(t, func(c *net.TCPConn, body io.Reader) {
		if _, err := io.WriteString(c, unending); err != nil {
			t.Errorf("answering: %v", err)
		}
		if err := c.CloseWrite(); err != nil {
			t.Errorf("ending the answer: %v", err)
		}
		then(c, body)
	})
	<-time.After(75 * time.Millisecond)
	return io.ReadAll(r.Body)
}

// An upstream answers a long upload without a length, marks the end of its answer and reads the upload late. Its answer is whole, and taken for cut off, it would
// be lost.
func TestAnswerThatEndsBeforeTheUploadIsReadIsWhole(t *testing.T) {
	got, err := endEarly(t, func(_ *net.TCPConn, body io.Reader) {
		<-time.After(100 * time.Millisecond)
		if n, err := io.Copy(io.Discard, body); n != longBody || err != nil {
			t.Errorf("body of %d bytes, %v, want %d bytes", n, err, longBody)
		}
	})
	if string(got) != "half" || err != nil {
		t.Errorf("answer = %q, %v, want %q", got, err, "half")
	}
}

// An upstream sends part of an answer without a length and closes its connection with the upload unread. Its kernel may send an end before it resets the
// connection, depending on when the upload came, so that such an end marks nothing.
func TestAnswerThatEndsWithTheUploadUnreadIsNotWhole(t *testing.T) {
	for name, wait := range map[string]time.Duration{"at once": 0, "later": 50 * time.Millisecond, "behind the reader's first look": 150 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			if got, err := endEarly(t, func(*net.TCPConn, io.Reader) { <-time.After(wait) }); err == nil {
				t.Errorf("answer = %q without an error, want one", got)
			}
		})
	}
}

// An upstream answers a long upload without a length, reads the upload seconds later and only then closes the connection, which marks the end of its answer.
func TestAnswerThatEndsBehindALateUploadIsWhole(t *testing.T) {
	r := upload(t, func(c *net.TCPConn, body io.Reader) {
		if _, err := io.WriteString(c, unending); err != nil {
			t.Errorf("answering: %v", err)
		}
		<-time.After(4 * time.Second) // longer than bytes on other connections may wait to be taken
		if n, err := io.Copy(io.Discard, body); n != longBody || err != nil {
			t.Errorf("body of %d bytes, %v, want %d bytes", n, err, longBody)
		}
	})
	if got, err := io.ReadAll(r.Body); string(got) != "half" || err != nil {
		t.Errorf("answer = %q, %v, want %q", got, err, "half")
	}
}
