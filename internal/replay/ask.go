package replay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/stand/site"
	"damaskreach/pkg/head"
)

const (
	opening  = 256 // bytes of a prompt that engines cache
	mark     = "#" // before the tokens that the answer will have
	endEvent = "data: [DONE]"
)

// demand is one request of a trace.
type demand struct {
	number int
	call   call.Call
	within time.Duration
	tokens int
}

type completion struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Most   int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
}

// length reads how many tokens an answer has off its prompt.
func length(prompt string, most int) int {
	_, tokens, _ := strings.Cut(prompt, mark)
	n, err := strconv.Atoi(tokens)
	if err != nil {
		return most
	}
	return n
}

// ask sends a request to some node and records what became of it.
func (r *replay) ask(ctx context.Context, d demand) {
	if d.call.Adapter == "" {
		status, _, _, err := r.site.Book(ctx, d.number%nodes, "/slots", "{}", map[string]string{head.Key: d.call.Key})
		r.stats.booked(err == nil && status == http.StatusOK)
		return
	}
	a := answer{asked: time.Now(), within: d.within}
	res, err := r.post(ctx, d)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		a.read(res)
	}
	r.stats.add(a)
}

func (r *replay) post(ctx context.Context, d demand) (*http.Response, error) {
	prompt := fmt.Sprintf("%-*s%s%d", opening, d.call.Prefix, mark, d.tokens)
	body, err := json.Marshal(completion{Model: adapterName(d.call.Adapter) + "@v1", Prompt: prompt, Most: d.call.Most, Stream: true})
	if err != nil {
		return nil, err
	}
	url := "http://" + site.Host(d.number%nodes) + ":8000/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+site.APIKey)
	req.Header.Set(head.Priority, strconv.Itoa(d.call.Priority))
	if d.within > 0 {
		req.Header.Set(head.Timeout, d.within.String())
	}
	return r.site.Caller().Do(req)
}

// answer is what a caller saw.
type answer struct {
	asked   time.Time
	first   time.Time
	end     time.Time
	within  time.Duration
	tokens  int
	refused string // code of the refusal; empty where there was none
	whole   bool
}

// read takes the events of an answer as they come.
func (a *answer) read(res *http.Response) {
	if res.StatusCode != http.StatusOK {
		a.refused = code(res)
		return
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == endEvent:
			a.whole = true
		case strings.HasPrefix(line, "data: "):
			a.end = time.Now()
			if a.tokens++; a.tokens == 1 {
				a.first = a.end
			}
		}
	}
}

// code returns the code of a refusal.
func code(res *http.Response) string {
	var said struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(res.Body).Decode(&said); err != nil {
		return res.Status
	}
	return said.Error.Code
}
