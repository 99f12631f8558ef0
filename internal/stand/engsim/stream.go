package engsim

import (
	"encoding/json"
	"net/http"
	"strings"

	"damaskreach/internal/stand/recrd"
)

const finishLength = "length"

// writer forms answers as the usual model servers do.
// Nothing in them depends on time or engine, so that a resumed stream goes on byte for byte.
type writer struct {
	w     http.ResponseWriter
	chat  bool
	id    string
	model string
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type usage struct {
	Prompt int `json:"prompt_tokens"`
	Answer int `json:"completion_tokens"`
	Total  int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// stream sends each token as an event when it is generated.
func (e *Engine) stream(r *http.Request, x *run, tokens []string, sent int, out writer) {
	out.w.Header().Set("Content-Type", "text/event-stream")
	out.w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(out.w).Flush
	flush()
	for sent < len(tokens) {
		n, ok := e.await(r, x, sent)
		if !ok {
			return
		}
		for ; sent < n; sent++ {
			out.event(out.chunk(tokens[sent], sent+1 == len(tokens)))
		}
		if flush() != nil {
			e.finish(x, recrd.Cancelled)
			return
		}
	}
	out.w.Write([]byte("data: [DONE]\n\n"))
	if flush() != nil {
		e.finish(x, recrd.Cancelled)
		return
	}
	e.finish(x, recrd.Whole)
}

// collect sends the whole answer as one JSON body.
func (e *Engine) collect(r *http.Request, x *run, tokens []string, skipped int, out writer) {
	for sent := skipped; sent < len(tokens); {
		n, ok := e.await(r, x, sent)
		if !ok {
			return
		}
		sent = n
	}
	reply(out.w, http.StatusOK, out.whole(strings.Join(tokens, ""), len(tokens)))
	if http.NewResponseController(out.w).Flush() != nil {
		e.finish(x, recrd.Cancelled)
		return
	}
	e.finish(x, recrd.Whole)
}

func (o writer) event(c completion) {
	body, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	o.w.Write([]byte("data: "))
	o.w.Write(body)
	o.w.Write([]byte("\n\n"))
}

func (o writer) chunk(token string, last bool) completion {
	c := choice{Text: &token}
	object := "text_completion"
	if o.chat {
		c = choice{Delta: &message{Role: "assistant", Content: token}}
		object = "chat.completion.chunk"
	}
	if last {
		c.Finish = new(finishLength)
	}
	return completion{ID: o.id, Object: object, Model: o.model, Choices: []choice{c}}
}

func (o writer) whole(text string, tokens int) completion {
	c := choice{Text: &text, Finish: new(finishLength)}
	object := "text_completion"
	if o.chat {
		c = choice{Message: &message{Role: "assistant", Content: text}, Finish: new(finishLength)}
		object = "chat.completion"
	}
	return completion{
		ID:      o.id,
		Object:  object,
		Model:   o.model,
		Choices: []choice{c},
		Usage:   &usage{Answer: tokens, Total: tokens},
	}
}
