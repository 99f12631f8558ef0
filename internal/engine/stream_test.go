package engine_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"damaskreach/internal/engine"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/recrd"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// An engine crashes and comes back on the same port of a real host, cold.
func TestCrashAndRestartOverTCP(t *testing.T) {
	e := engsim.NewEngine()
	e.Restart = 0
	at := "127.0.0.1:0"
	listening := make(chan string)
	go e.Run(t.Context(), func() (net.Listener, error) {
		lis, err := net.Listen("tcp", at)
		if err != nil {
			return nil, err
		}
		at = lis.Addr().String()
		listening <- at
		return lis, nil
	})
	client := engine.NewEngine(<-listening, func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	})
	t.Cleanup(client.Close)
	load(t, client, model)
	got := generate(t.Context(), client, 1, ask(model, "hello", 5), nil)
	if got.err != nil || got.text.String() != whole(model, "hello", 5) {
		t.Errorf("Generate = %q, %v, want %q, nil", got.text.String(), got.err, whole(model, "hello", 5))
	}
	got = generate(t.Context(), client, 1, ask(model, "hello", 500), func(token int) {
		if token == 2 {
			e.Crash()
		}
	})
	check(t, "Generate cut by a crash", got.err, refuse.Crashed, verd.MayHaveRun)
	<-listening
	got = generate(t.Context(), client, 1, ask(model, "hello", 5), nil)
	check(t, "Generate on the cold engine", got.err, refuse.NoUpstream, verd.NotRun)
}

// Requests of several adapters share the steps of one engine. A mistake in the
// batch or in the reading would hand a caller tokens of another request.
func TestBatchAnswersEachRequestWithItsOwnTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := serve(t, engsim.NewEngine())
		load(t, client, "a@1", "a@2", "b@1")
		var all sync.WaitGroup
		for i := range 30 {
			m := []string{"a@1", "a@2", "b@1"}[i%3]
			text := fmt.Sprintf("prompt %d", i)
			all.Go(func() {
				got := generate(soon(t), client, 1, ask(m, text, 5+i), nil)
				if got.err != nil || got.text.String() != whole(m, text, 5+i) || got.tokens != 5+i {
					t.Errorf("Generate(%s, %s) = %q, %d tokens, %v, want %q", m, text, got.text.String(), got.tokens, got.err, whole(m, text, 5+i))
				}
			})
		}
		all.Wait()
	})
}

func TestChatAndUnstreamedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := serve(t, engsim.NewEngine())
		load(t, client, model)
		chat := ask(model, "x", 0)
		chat.Path = "/v1/chat/completions"
		chat.Body = []byte(`{"model":"kiln@3","messages":[{"role":"user","content":"hi"}],"max_tokens":4,"stream":true}`)
		got := generate(soon(t), client, 1, chat, nil)
		if got.err != nil || got.text.String() != whole(model, "hi", 4) || got.tokens != 4 {
			t.Errorf("chat = %q, %d tokens, %v, want %q, 4, nil", got.text.String(), got.tokens, got.err, whole(model, "hi", 4))
		}
		one := ask(model, "x", 0)
		one.Body = []byte(`{"model":"kiln@3","prompt":"hi","max_tokens":4}`)
		got = generate(soon(t), client, 1, one, nil)
		if got.err != nil || got.text.String() != whole(model, "hi", 4) || got.kind != "application/json" {
			t.Errorf("unstreamed = %q, %q, %v, want %q", got.text.String(), got.kind, got.err, whole(model, "hi", 4))
		}
	})
}

// A caller goes away in the middle of a stream. If its place in the batch were kept,
// the engine would go on for nobody and the next caller would wait for it.
func TestCancelFreesTheBatchPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Batch = 1
		client := serve(t, e)
		load(t, client, model)
		ctx, cancel := context.WithCancel(t.Context())
		got := generate(ctx, client, 1, ask(model, "long", 20000), func(token int) {
			if token == 3 {
				cancel()
			}
		})
		if !errors.Is(got.err, context.Canceled) || verd.Of(got.err) != verd.MayHaveRun {
			t.Errorf("cancelled Generate = %v (%v), want context canceled, may-have-run", got.err, verd.Of(got.err))
		}
		next := generate(soon(t), client, 1, ask(model, "short", 2), nil)
		if next.err != nil {
			t.Errorf("next Generate = %v, want nil", next.err)
		}
		records := e.Records()
		if len(records) != 2 || records[0].End != recrd.Cancelled || records[0].Tokens > 10 || records[1].End != recrd.Whole {
			t.Errorf("Records() = %+v, want one cancelled after a few tokens and one whole", records)
		}
	})
}

// A stream breaks and is resumed on another engine at the next token. The caller must
// get the bytes that an unbroken stream would have given, without a gap or a repeat.
func TestResumeContinuesByteForByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := serve(t, engsim.NewEngine())
		second := serve(t, engsim.NewEngine())
		load(t, first, model)
		load(t, second, model)
		full := generate(soon(t), first, 1, ask(model, "p", 40), nil)
		ctx, cancel := context.WithCancel(t.Context())
		var upTo int
		part := generate(ctx, first, 1, ask(model, "p", 40), func(token int) {
			if upTo = token; token == 17 {
				cancel()
			}
		})
		rest := generate(soon(t), second, 1, ask(model, "p", 40).WithFrom(upTo), nil)
		if rest.err != nil || rest.tokens != 40 {
			t.Errorf("resumed Generate ended at token %d with %v, want 40, nil", rest.tokens, rest.err)
		}
		if got, want := part.raw.String()+rest.raw.String(), full.raw.String(); got != want {
			t.Errorf("broken and resumed stream = %q, want %q", got, want)
		}
	})
}
