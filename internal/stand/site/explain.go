package site

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/event"
)

// Explain asks node i why something was decided, and returns the decisions of all nodes and who did not answer.
func (s *Site) Explain(ctx context.Context, i int, question url.Values) (events []event.Event, silent []string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+Host(i)+":9000/explain?"+question.Encode(), nil)
	if err != nil {
		return nil, nil, err
	}
	res, err := s.Caller().Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, nil, merry.Errorf("status %d", res.StatusCode)
	}
	var answer struct {
		Events []event.Event `json:"events"`
		Silent []string      `json:"silent"`
	}
	err = json.NewDecoder(res.Body).Decode(&answer)
	return answer.Events, answer.Silent, err
}
