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

// An engine crashes and restarts on the same TCP port without loaded models.
func TestCrashAndRestartOverTCP(t *testing.T) {
	e := engsim.NewEngine()
	e.Restart = 0
	listenAddr := "127.0.0.1:0"
	listening := make(chan string)
	go e.Run(t.Context(), func() (net.Listener, error) {
		lis, err := net.Listen("tcp", listenAddr)
		if err != nil {
			return nil, err
		}
		listenAddr = lis.Addr().String()
		listening <- listenAddr
		return lis, nil
	})
	client := engine.NewEngine(<-listening, func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	})
	t.Cleanup(client.Close)
	load(t, client, model)
	got := generate(t.Context(), client, 1, newCall(model, "hello", 5), nil)
	if got.err != nil || got.text.String() != expectedText(model, "hello", 5) {
		t.Errorf("Generate = %q, %v, want %q, nil", got.text.String(), got.err, expectedText(model, "hello", 5))
	}
	got = generate(t.Context(), client, 1, newCall(model, "hello", 500), func(token int) {
		if token == 2 {
			e.Crash()
		}
	})
	checkRefusal(t, "Generate cut by a crash", got.err, refuse.Crashed, verd.MayHaveRun)
	<-listening
	got = generate(t.Context(), client, 1, newCall(model, "hello", 5), nil)
	checkRefusal(t, "Generate on the cold engine", got.err, refuse.NoUpstream, verd.NotRun)
}

// Requests for several adapters run in one batch. A fault in batching or in reading
// would give a caller the tokens of another request.
func TestBatchAnswersEachRequestWithItsOwnTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := serve(t, engsim.NewEngine())
		load(t, client, "a@1", "a@2", "b@1")
		var all sync.WaitGroup
		for i := range 30 {
			m := []string{"a@1", "a@2", "b@1"}[i%3]
			text := fmt.Sprintf("prompt %d", i)
			all.Go(func() {
				got := generate(testContext(t), client, 1, newCall(m, text, 5+i), nil)
				if got.err != nil || got.text.String() != expectedText(m, text, 5+i) || got.tokens != 5+i {
					t.Errorf("Generate(%s, %s) = %q, %d tokens, %v, want %q", m, text, got.text.String(), got.tokens, got.err, expectedText(m, text, 5+i))
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
		chat := newCall(model, "x", 0)
		chat.Path = "/v1/chat/completions"
		chat.Body = []byte(`{"model":"kiln@3","messages":[{"role":"user","content":"hi"}],"max_tokens":4,"stream":true}`)
		got := generate(testContext(t), client, 1, chat, nil)
		if got.err != nil || got.text.String() != expectedText(model, "hi", 4) || got.tokens != 4 {
			t.Errorf("chat = %q, %d tokens, %v, want %q, 4, nil", got.text.String(), got.tokens, got.err, expectedText(model, "hi", 4))
		}
		one := newCall(model, "x", 0)
		one.Body = []byte(`{"model":"kiln@3","prompt":"hi","max_tokens":4}`)
		got = generate(testContext(t), client, 1, one, nil)
		if got.err != nil || got.text.String() != expectedText(model, "hi", 4) || got.kind != "application/json" {
			t.Errorf("unstreamed = %q, %q, %v, want %q", got.text.String(), got.kind, got.err, expectedText(model, "hi", 4))
		}
	})
}

// A caller disconnects during a stream. If its batch slot were not freed, the engine
// would keep generating and the next caller would wait.
func TestCancelFreesTheBatchSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.NewEngine()
		e.Batch = 1
		client := serve(t, e)
		load(t, client, model)
		ctx, cancel := context.WithCancel(t.Context())
		got := generate(ctx, client, 1, newCall(model, "long", 20000), func(token int) {
			if token == 3 {
				cancel()
			}
		})
		if !errors.Is(got.err, context.Canceled) || verd.Of(got.err) != verd.MayHaveRun {
			t.Errorf("cancelled Generate = %v (%v), want context canceled, may-have-run", got.err, verd.Of(got.err))
		}
		next := generate(testContext(t), client, 1, newCall(model, "short", 2), nil)
		if next.err != nil {
			t.Errorf("next Generate = %v, want nil", next.err)
		}
		records := e.Records()
		if len(records) != 2 || records[0].End != recrd.Cancelled || records[0].Tokens > 10 || records[1].End != recrd.Whole {
			t.Errorf("Records() = %+v, want one cancelled after a few tokens and one whole", records)
		}
	})
}

// A broken stream is resumed on another engine at the next token. The caller must
// get the bytes of an unbroken stream, without gaps or duplicates.
func TestResumeContinuesByteForByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := serve(t, engsim.NewEngine())
		second := serve(t, engsim.NewEngine())
		load(t, first, model)
		load(t, second, model)
		full := generate(testContext(t), first, 1, newCall(model, "p", 40), nil)
		ctx, cancel := context.WithCancel(t.Context())
		var upTo int
		part := generate(ctx, first, 1, newCall(model, "p", 40), func(token int) {
			if upTo = token; token == 17 {
				cancel()
			}
		})
		rest := generate(testContext(t), second, 1, newCall(model, "p", 40).WithFrom(upTo), nil)
		if rest.err != nil || rest.tokens != 40 {
			t.Errorf("resumed Generate ended at token %d with %v, want 40, nil", rest.tokens, rest.err)
		}
		if got, want := part.raw.String()+rest.raw.String(), full.raw.String(); got != want {
			t.Errorf("broken and resumed stream = %q, want %q", got, want)
		}
	})
}
