package hosts_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"damaskreach/internal/hosts"
)

// canned returns a dial to a server that gives each request the same answer.
func canned(status int, body string) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			io.WriteString(server, "HTTP/1.1 "+strconv.Itoa(status)+" Canned\r\nConnection: close\r\nContent-Length: "+
				strconv.Itoa(len(body))+"\r\n\r\n"+body)
		}()
		return client, nil
	}
}

// The platform answers with a list that is wrong in one entry, or with something else. Whatever it is, a list that is
// returned holds valid hosts only: hosts missed in one that was read in part would be taken for gone.
func FuzzList(f *testing.F) {
	f.Add(200, `[{"addr":"10.0.0.1","centre":"c","state":"live"}]`)
	f.Add(200, `[{"addr":"10.0.0.1","state":"live"},{"addr":"","state":"gone"}]`)
	f.Add(200, `null`)
	f.Add(503, `[]`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 || status == http.StatusNoContent || status == http.StatusNotModified {
			return // such an answer has no body
		}
		list, err := hosts.NewHosts([]string{"10.0.0.9:1"}, canned(status, body)).List(t.Context())
		if err != nil && (!errors.Is(err, hosts.ErrFailed) || list != nil) {
			t.Errorf("List = %v, %v, want no list and ErrFailed", list, err)
		}
		if err == nil && status != http.StatusOK {
			t.Errorf("List = nil error for status %d, want one", status)
		}
		for _, h := range list {
			if !h.Valid() {
				t.Errorf("List returned %+v, want valid hosts only", h)
			}
		}
	})
}
