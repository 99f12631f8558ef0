package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"damaskreach/internal/stand/site"
	"damaskreach/pkg/head"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	mostTries = 20
	usualWait = 200 * time.Millisecond // before another try where a refusal names no time
	longWait  = time.Second
)

type completion struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
}

type chunk struct {
	Choices []choice `json:"choices"`
}

type choice struct {
	Text string `json:"text"`
}

// ask sends a request until it is answered in full or nothing more may be tried. The client repeats what may be repeated;
// what it has given up on is asked again as long as that is safe: a completion is idempotent, and a booking has a key.
func (d *Demo) ask(ctx context.Context, q demand) {
	for try := range mostTries {
		start := time.Now()
		id := fmt.Sprintf("request-%d-%d", q.number, try)
		d.judge.Sent(id, q.key(), q.booking, q.model, q.want())
		text, err := d.once(ctx, q, id)
		if err == nil {
			d.judge.Got(id, http.StatusOK, verd.Ran.String(), true, text)
			d.note(id, time.Since(start))
			return
		}
		refusal := asRefusal(err)
		d.judge.Got(id, refusal.Status(), refusal.Verdict.String(), false, text)
		if ctx.Err() != nil {
			return
		}
		pause(ctx, min(max(refusal.Retry, usualWait), longWait))
	}
}

func asRefusal(err error) *refuse.Refusal {
	var refusal *refuse.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "%v", err)
}

func (q demand) key() string {
	if !q.booking {
		return ""
	}
	return fmt.Sprintf("booking-%d", q.number)
}

func (d *Demo) note(id string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.took = append(d.took, took)
	if took > d.most {
		d.most, d.slow = took, id
	}
}

// once returns a request's text and nil where the answer is whole.
func (d *Demo) once(ctx context.Context, q demand, id string) (string, error) {
	if q.booking {
		return d.book(ctx, q, id)
	}
	return d.complete(ctx, q, id)
}

func (d *Demo) book(ctx context.Context, q demand, id string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "/plain/"+site.Plain+bookingPath, strings.NewReader(q.body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Content-Type", bookingType)
	req.Header.Set(head.Request, id)
	req.Header.Set(head.Key, q.key())
	res, err := d.client.Do(ctx, "", req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return string(text), err
}

func (d *Demo) complete(ctx context.Context, q demand, id string) (string, error) {
	body, err := json.Marshal(completion{Model: q.model, Prompt: q.prompt, Tokens: q.tokens, Stream: true})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return "", err
	}
	req.Header.Set(head.Request, id)
	var text strings.Builder
	err = d.client.Stream(ctx, q.model, req, func(data []byte) error {
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return err
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Text)
		}
		return nil
	})
	return text.String(), err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
