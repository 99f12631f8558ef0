package engine

import "bytes"

const endMark = "[DONE]"

var (
	failureOpening = []byte(`{"error"`)
	textField      = []byte(`"text":`)
	contentField   = []byte(`"content":`)
	emptyText      = []byte(`""`)
)

// hasToken reports whether an event carries a token. Engines send one event per token; events that only
// open a chat, close it or state the usage have no text. The fields cannot be met inside a
// string of the event, because its quotes are escaped there.
func hasToken(data []byte) bool {
	return hasText(data, textField) || hasText(data, contentField)
}

func hasText(data, field []byte) bool {
	at := bytes.Index(data, field)
	if at < 0 {
		return false
	}
	value := bytes.TrimLeft(data[at+len(field):], " ")
	return bytes.HasPrefix(value, emptyText[:1]) && !bytes.HasPrefix(value, emptyText)
}

// isFailure reports whether an event says that the engine gave the answer up.
func isFailure(data []byte) bool {
	return bytes.HasPrefix(data, failureOpening)
}
