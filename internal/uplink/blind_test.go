package uplink_test

import (
	"io"
	"net"
	"testing"
	"time"
)

// An upstream sends a part of an answer without a length and resets the connection. Whoever looks at the connection besides its reader is told of the reset in the reader's place, and
// the caller gets the part as the whole.
func TestNothingLooksAtAConnectionWhoseAnswerIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() = %v, want nil", err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			if _, err := c.Read(buffer); err != nil {
				continue
			}
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf"); err != nil {
				continue
			}
			_ = c.(*net.TCPConn).SetLinger(0) // the test sees whether the connection is reset
			c.Close()
		}
	}()
	whole, u := 0, newUplink()
	s := &server{l: l}
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		if _, err := ask(t, u, s, "1"); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d parts of answers were taken for whole, want none", whole)
	}
}
