package client

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"damaskreach/pkg/head"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const refusalLimit = 64 << 10 // bytes of a refusal

type errorBody struct {
	Error detail `json:"error"`
}

type detail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    string       `json:"code"`
	Verdict verd.Verdict `json:"verdict"`
	Retry   float64      `json:"retry_after_seconds"`
}

// accept returns an answer, or the refusal that it is. A plain service's own errors are answers.
func accept(res *http.Response) (*http.Response, *refuse.Refusal) {
	if res.StatusCode < http.StatusBadRequest {
		return res, nil
	}
	content, err := io.ReadAll(io.LimitReader(res.Body, refusalLimit))
	refusal := parse(content)
	if refusal != nil {
		_ = res.Body.Close()
		return nil, refusal
	}
	if err != nil {
		_ = res.Body.Close()
		return nil, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "reading an answer: %v", err)
	}
	if res.Header.Get(head.Verdict) == "" {
		_ = res.Body.Close()
		return nil, refuse.NewRefusal(verd.MayHaveRun, refuse.Internal, "an answer without a verdict, status %d", res.StatusCode)
	}
	rest := res.Body
	res.Body = joined{io.MultiReader(bytes.NewReader(content), rest), rest}
	return res, nil
}

// joined is a body of which a part was read already.
type joined struct {
	io.Reader
	io.Closer
}

// parse returns the refusal in a JSON body, or nil where there is none of ours.
func parse(content []byte) *refuse.Refusal {
	var said errorBody
	if json.Unmarshal(content, &said) != nil || said.Error.Type != head.Kind {
		return nil
	}
	refusal := refuse.NewRefusal(said.Error.Verdict, said.Error.Code, "%s", said.Error.Message)
	return refusal.WithRetry(time.Duration(said.Error.Retry * float64(time.Second)))
}
