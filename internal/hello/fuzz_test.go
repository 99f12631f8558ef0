package hello_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/frame"
	"damaskreach/internal/hello"
)

const mostMemory = 8 << 20 // bytes that reading a stranger's frames may take

// accept runs the accepting side against bytes that a stranger sends.
func accept(input []byte) error {
	_, _, err := hello.Accept(bufio.NewReader(bytes.NewReader(input)), io.Discard, hello.NewHello("b", "1"), [][]byte{old})
	return err
}

func helloFrame(body []byte) []byte {
	return frame.Append(nil, frame.Frame{Kind: frame.Hello, Body: body})
}

// Something without the secret connects and announces a field of two gigabytes in a frame of few bytes. Room made for
// it on its word would get the node killed for its memory, by anyone who can reach its port.
func TestAnnouncedSizeTakesNoMemory(t *testing.T) {
	for _, field := range []string{"id", "nonce", "unknown"} {
		name, err := msgpack.Marshal(field)
		if err != nil {
			t.Fatal(err)
		}
		body := append([]byte{0x81}, name...)
		body = append(body, 0xc6, 0x7f, 0xff, 0xff, 0xff) // bin of 2^31-1 bytes
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err = accept(helloFrame(body))
		runtime.ReadMemStats(&after)
		if !errors.Is(err, hello.ErrProtocol) {
			t.Errorf("%s: got %v, want ErrProtocol", field, err)
		}
		if got := after.TotalAlloc - before.TotalAlloc; got > mostMemory {
			t.Errorf("%s: took %d bytes, want at most %d", field, got, mostMemory)
		}
	}
}

// Whatever a stranger sends, it is not let in.
func FuzzAccept(f *testing.F) {
	whole, err := msgpack.Marshal(hello.Hello{ID: "a", Min: 1, Max: 1, Frame: 1, Window: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(helloFrame(whole))
	f.Add(helloFrame(whole[:20]))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(frame.Append(nil, frame.Frame{Kind: frame.Reject, Body: []byte("no")}))
	f.Fuzz(func(t *testing.T, input []byte) {
		if accept(input) == nil {
			t.Errorf("let in with %x", input)
		}
	})
}
