package engine

import "bytes"

const endMark = "[DONE]"

var noChoices = []byte(`"choices":[]`)

// hasToken reports whether an event carries a token: engines send one event per token,
// besides events that hold only the usage and have no choices.
func hasToken(data []byte) bool {
	return !bytes.Contains(data, noChoices)
}
