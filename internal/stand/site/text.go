package site

import (
	"encoding/json"
	"strings"
)

const (
	eventStart = "data: "
	eventEnd   = "[DONE]"
)

type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Text returns the text of a streamed completion and whether the stream came to its proper end.
func Text(body []byte) (text string, whole bool) {
	var b strings.Builder
	for line := range strings.Lines(string(body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), eventStart)
		if !ok {
			continue
		}
		if data == eventEnd {
			return b.String(), true
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			b.WriteString(c.Choices[0].Text)
		}
	}
	return b.String(), false
}
