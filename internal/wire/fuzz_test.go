package wire_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/bounds"
	"damaskreach/internal/frame"
	"damaskreach/internal/hello"
	"damaskreach/internal/wire"
)

// A peer that knows the secret and has a fault sends anything. Its connection may end for it; a panic would end the
// node with all its other requests.
func FuzzPeerFrames(f *testing.F) {
	question, err := msgpack.Marshal("echo")
	if err != nil {
		f.Fatal(err)
	}
	var talk []byte
	for _, sent := range []frame.Frame{
		{Kind: frame.Open, Stream: 1, Body: append(question, 7)},
		{Kind: frame.Data, Stream: 1, Body: []byte{8}},
		{Kind: frame.Credit, Stream: 1, Body: []byte{100}},
		{Kind: frame.Reset, Stream: 1, Body: []byte{0x80}},
		{Kind: frame.Open, Flags: frame.Last, Stream: 3, Body: question},
		{Kind: frame.Bye, Stream: 2},
	} {
		talk = frame.Append(talk, sent)
		f.Add(frame.Append(nil, sent))
	}
	f.Add(talk)
	f.Fuzz(func(_ *testing.T, input []byte) {
		near, far := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			c, err := wire.Accept(context.Background(), far, hello.NewHello("b", "1"), secrets, bounds.NewBounds(), echo)
			if err == nil {
				c.Wait()
			}
		}()
		sendRaw(near, input)
		<-done
	})
}

// sendRaw shows that it knows the secret, sends the input and hangs up.
func sendRaw(nc net.Conn, input []byte) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	if _, _, err := hello.Dial(r, nc, hello.NewHello("a", "1"), secrets); err != nil {
		return
	}
	go io.Copy(io.Discard, r)
	nc.Write(input)
}
