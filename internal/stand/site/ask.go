package site

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
)

// CallerHost is where the callers of a site are.
const CallerHost = "10.0.2.1"

// Caller returns an HTTP client at the callers' host that opens a connection for each request.
func (s *Site) Caller() *http.Client {
	transport := &http.Transport{DisableKeepAlives: true}
	dial := s.Net.Dial(CallerHost)
	transport.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
	return &http.Client{Transport: transport}
}

// Complete asks node i for a completion and returns the answer's status, headers and body, which is whole unless
// err is set.
func (s *Site) Complete(ctx context.Context, i int, model, prompt string, tokens int, headers map[string]string) (int, http.Header, []byte, error) {
	body, err := json.Marshal(completion{Model: model, Prompt: prompt, MaxTokens: tokens, Stream: true})
	if err != nil {
		return 0, nil, nil, err
	}
	return s.post(ctx, "http://"+Host(i)+":8000/v1/completions", body, headers)
}

// Book posts a booking to the plain services through node i; see Complete for what it returns.
func (s *Site) Book(ctx context.Context, i int, path, body string, headers map[string]string) (int, http.Header, []byte, error) {
	return s.post(ctx, "http://"+Host(i)+":8000/plain/"+Plain+path, []byte(body), headers)
}

func (s *Site) post(ctx context.Context, url string, body []byte, headers map[string]string) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	req.GetBody = nil // or net/http might send a booking twice itself
	req.Header.Set("Authorization", "Bearer "+APIKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	res, err := s.Caller().Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, answer, err
}

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}
