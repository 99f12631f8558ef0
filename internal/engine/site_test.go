package engine_test

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/engine"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/memnet"
)

const (
	addr   = "10.0.0.1:8000"
	caller = "10.0.0.2" // the client's host
	model  = "kiln@3"
)

// serving is an upstream that can be run on listeners.
type serving interface {
	Run(ctx context.Context, listen func() (net.Listener, error)) error
}

// serve runs an upstream on a network in memory until the test ends, and returns a client of it.
func serve(t *testing.T, upstream serving) engine.Engine {
	t.Helper()
	net := memnet.NewNet(1)
	client := engine.NewEngine(addr, net.Dial(caller))
	t.Cleanup(client.Close)
	run(t, net, upstream)
	return client
}

func run(t *testing.T, network *memnet.Net, upstream serving) {
	listening := make(chan struct{}, 16)
	go upstream.Run(t.Context(), func() (net.Listener, error) {
		defer func() { listening <- struct{}{} }()
		return network.Listen(addr)
	})
	<-listening
}

// load makes models resident.
func load(t *testing.T, client engine.Engine, models ...string) {
	t.Helper()
	for _, m := range models {
		if err := client.Load(t.Context(), 1, m); err != nil {
			t.Fatalf("Load(%s) = %v, want nil", m, err)
		}
	}
}

// ask returns a streamed call for tokens tokens on adapter@version.
func ask(model, text string, tokens int) call.Call {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": text, "max_tokens": tokens, "stream": true})
	if err != nil {
		panic(err)
	}
	adapter, version, _ := strings.Cut(model, "@")
	return call.Call{
		ID: "r-" + text, Attempt: "a-" + text, Adapter: adapter, Version: version,
		Method: "POST", Path: "/v1/completions", Type: "application/json", Body: body, Stream: true,
	}
}

// answer is what a caller of Generate was given.
type answer struct {
	status int
	kind   string
	text   strings.Builder // of a stream: its tokens; else the body
	raw    strings.Builder // every piece
	tokens int
	err    error
}

// generate runs c; seen, if any, is called after each piece.
func generate(ctx context.Context, client engine.Engine, fence int64, c call.Call, seen func(token int)) *answer {
	a := &answer{}
	head := func(status int, kind string) error {
		a.status, a.kind = status, kind
		return nil
	}
	a.err = client.Generate(ctx, fence, c, head, func(token int, piece []byte) error {
		a.tokens = token
		a.raw.Write(piece)
		a.text.WriteString(textOf(piece))
		if seen != nil {
			seen(token)
		}
		return nil
	})
	return a
}

// textOf returns the text of an event, or the piece itself where it is none.
func textOf(piece []byte) string {
	var said struct {
		Choices []struct {
			Text  string
			Delta struct{ Content string }
		}
	}
	if json.Unmarshal(piece, &said) != nil || len(said.Choices) == 0 {
		return string(piece)
	}
	return said.Choices[0].Text + said.Choices[0].Delta.Content
}

func whole(model, text string, tokens int) string {
	return strings.Join(engsim.Answer(model, text, tokens), "")
}

// soon is a context for calls that a defect would make hang.
func soon(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}
