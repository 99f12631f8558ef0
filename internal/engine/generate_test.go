package engine_test

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"

	"damaskreach/internal/call"
	"damaskreach/internal/engine"
	"damaskreach/internal/stand/engsim"
)

const model = "kiln@3"

// tcp serves e on a real socket and returns a client of it.
func tcp(t *testing.T, e *engsim.Engine) engine.Engine {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go e.Run(t.Context(), func() (net.Listener, error) { return lis, nil })
	client := engine.NewEngine(lis.Addr().String(), func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	})
	t.Cleanup(client.Close)
	return client
}

func prompt(text string, tokens int) call.Call {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": text, "max_tokens": tokens, "stream": true})
	if err != nil {
		panic(err)
	}
	return call.Call{ID: "r1", Attempt: "a1", Adapter: "kiln", Version: "3", Method: "POST", Path: "/v1/completions", Type: "application/json", Body: body, Stream: true}
}

func TestStreamOverTCP(t *testing.T) {
	client := tcp(t, engsim.NewEngine())
	if err := client.Load(t.Context(), 1, model); err != nil {
		t.Fatalf("Load = %v, want nil", err)
	}
	var got strings.Builder
	head := func(int, string) error { return nil }
	err := client.Generate(t.Context(), 1, prompt("hello", 5), head, func(_ int, piece []byte) error {
		var said struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal(piece, &said); err != nil {
			return err
		}
		got.WriteString(said.Choices[0].Text)
		return nil
	})
	if err != nil {
		t.Fatalf("Generate = %v, want nil", err)
	}
	if want := strings.Join(engsim.Answer(model, "hello", 5), ""); got.String() != want {
		t.Errorf("Generate emitted %q, want %q", got.String(), want)
	}
}
