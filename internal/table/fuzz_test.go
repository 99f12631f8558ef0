package table_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

// For any response, the client must return one of its error classes, and must not report a write as rejected, or a row as read, if the body
// is no reply.
func FuzzAnswer(f *testing.F) {
	f.Add(200, `{"rows":[{"key":"a/1","rev":1}],"rev":1}`)
	f.Add(409, `{"keys":["a/1"]}`)
	f.Add(404, `{"text":"no row"}`)
	f.Add(503, ``)
	f.Add(200, `{"rev":`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 || status == http.StatusNoContent || status == http.StatusNotModified {
			return // such a response has no body
		}
		tab := table.NewTable([]string{"10.0.0.9:1"}, cannedServer(status, body))
		row, err := tab.Read(t.Context(), "a/1")
		if err == nil && row.Key != "a/1" {
			t.Errorf("Read returned the row %q, want a/1", row.Key)
		}
		_, writeErr := tab.Write(t.Context(), rows.Row{Key: "a/1"})
		_, _, tailErr := tab.Tail(t.Context(), "a/", 0)
		for _, err := range []error{err, writeErr, tailErr} {
			if err != nil && !hasClass(err) {
				t.Errorf("status %d, body %q: error %v has no class", status, body, err)
			}
		}
	})
}

func hasClass(err error) bool {
	classes := []error{table.ErrDown, table.ErrLost, table.ErrConflict, table.ErrAbsent, table.ErrInvalid, table.ErrCompacted}
	for _, class := range classes {
		if errors.Is(err, class) {
			return true
		}
	}
	return false
}

// cannedServer returns a dial to a server that gives each request the same response.
func cannedServer(status int, body string) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			request, err := http.ReadRequest(bufio.NewReader(server))
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			io.WriteString(server, "HTTP/1.1 "+strconv.Itoa(status)+" Canned\r\nConnection: close\r\nContent-Length: "+
				strconv.Itoa(len(body))+"\r\n\r\n"+body)
		}()
		return client, nil
	}
}
