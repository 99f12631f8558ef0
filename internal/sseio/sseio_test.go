package sseio_test

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"damaskreach/internal/sseio"
)

const limit = 64

// read returns all events of r and the error that ended them.
func read(r io.Reader) ([]string, error) {
	var events []string
	reader := sseio.NewReader(r, limit)
	for {
		data, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

func TestReader(t *testing.T) {
	tests := []struct {
		name, input string
		want        []string
		err         error
	}{
		{"nothing", "", nil, io.EOF},
		{"two events", "data: a\n\ndata:b\n\n", []string{"a", "b"}, io.EOF},
		{"only one space is dropped", "data:  a \n\n", []string{" a "}, io.EOF},
		{"several lines", "data: a\ndata\ndata: b\n\n", []string{"a\n\nb"}, io.EOF},
		{"carriage returns and mark", "\xef\xbb\xbfdata: a\r\n\r\n", []string{"a"}, io.EOF},
		{"comments and other fields", ": hi\n\nid: 4\nevent: x\ndata: a\nretry: 1\n\n", []string{"a"}, io.EOF},
		{"field without data", "event: x\n\ndata: a\n\n", []string{"a"}, io.EOF},
		{"similar name", "data2: a\n\n", nil, io.EOF},
		{"event not ended", "data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF},
		{"line not ended", "data: a\n\ndata: b", []string{"a"}, io.ErrUnexpectedEOF},
		{"event without data not ended", "id: 1\n", nil, io.ErrUnexpectedEOF},
		{"carriage return inside", "data: a\rdata: b\n\n", nil, sseio.ErrBareReturn},
		{"long event", "data: " + strings.Repeat("x", limit+1) + "\n\n", nil, sseio.ErrTooLong},
		{"long event of many lines", strings.Repeat("data: x\n", limit) + "\n", nil, sseio.ErrTooLong},
		{"very long line", "data: " + strings.Repeat("x", 1<<20), nil, sseio.ErrTooLong},
		{"very long comment", ":" + strings.Repeat("x", 1<<20) + "\n\n", nil, sseio.ErrTooLong},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := read(strings.NewReader(test.input))
			if !slices.Equal(got, test.want) || !errors.Is(err, test.err) {
				t.Errorf("events = %q, %v, want %q, %v", got, err, test.want, test.err)
			}
		})
	}
}

func TestReaderReturnsTheErrorOfItsSource(t *testing.T) {
	broken := errors.New("connection reset")
	events, err := read(io.MultiReader(strings.NewReader("data: a\n\ndata: b"), iotest.ErrReader(broken)))
	if !errors.Is(err, broken) || len(events) != 1 {
		t.Errorf("events = %q, %v, want one and the source's error", events, err)
	}
}

// An engine or something between sends bytes that are no events, in pieces of any size. The reader must
// not panic, hold more than its limit, or understand the same bytes differently by how they arrived.
func FuzzReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: b\r\n\r\n"))
	f.Add([]byte("\xef\xbb\xbf: c\ndata\ndata: [DONE]\n\n"))
	f.Add([]byte("data: " + strings.Repeat("y", limit) + "\n\nid: 7\n\n"))
	f.Add([]byte("data: a\rb\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		want, wantErr := read(bytes.NewReader(input))
		for _, event := range want {
			if len(event) > limit || strings.Contains(event, "\r") {
				t.Errorf("event %q is over %d bytes or holds a carriage return", event, limit)
			}
		}
		got, gotErr := read(iotest.OneByteReader(bytes.NewReader(input)))
		if !slices.Equal(got, want) || gotErr.Error() != wantErr.Error() {
			t.Errorf("byte by byte = %q, %v, want %q, %v", got, gotErr, want, wantErr)
		}
	})
}
