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

// runnable is an upstream that serves on listeners.
type runnable interface {
	Run(ctx context.Context, listen func() (net.Listener, error)) error
}

// serve runs an upstream on an in-memory network until the test ends, and returns a client for it.
func serve(t *testing.T, upstream runnable) engine.Engine {
	t.Helper()
	net := memnet.NewNet(1)
	client := engine.NewEngine(addr, net.Dial(caller))
	t.Cleanup(client.Close)
	run(t, net, upstream)
	return client
}

func run(t *testing.T, network *memnet.Net, upstream runnable) {
	listening := make(chan struct{}, 16)
	go upstream.Run(t.Context(), func() (net.Listener, error) {
		defer func() { listening <- struct{}{} }()
		return network.Listen(addr)
	})
	<-listening
}

// load loads models with fencing token 1.
func load(t *testing.T, client engine.Engine, models ...string) {
	t.Helper()
	for _, m := range models {
		if err := client.Load(t.Context(), 1, m); err != nil {
			t.Fatalf("Load(%s) = %v, want nil", m, err)
		}
	}
}

// newCall returns a streamed call for the given number of tokens; model is adapter@version.
func newCall(model, text string, tokens int) call.Call {
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

// answer is what Generate passed to its caller.
type answer struct {
	status int
	kind   string
	text   strings.Builder // the tokens of a stream, else the body
	raw    strings.Builder // all pieces as received
	tokens int
	err    error
}

// generate runs c and calls seen, unless nil, after each piece.
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

// textOf returns the text of an event, or the piece itself if it is not an event.
func textOf(piece []byte) string {
	var event struct {
		Choices []struct {
			Text  string
			Delta struct{ Content string }
		}
	}
	if json.Unmarshal(piece, &event) != nil || len(event.Choices) == 0 {
		return string(piece)
	}
	return event.Choices[0].Text + event.Choices[0].Delta.Content
}

func expectedText(model, text string, tokens int) string {
	return strings.Join(engsim.Answer(model, text, tokens), "")
}

// testContext returns a context that ends calls which hang because of a defect.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}
