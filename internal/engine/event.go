package engine

import "bytes"

const streamEnd = "[DONE]"

var (
	errorPrefix  = []byte(`{"error"`)
	textField    = []byte(`"text":`)
	contentField = []byte(`"content":`)
	emptyText    = []byte(`""`)
)

// hasToken reports whether an event carries a token. Engines send one event per token; events that only
// start a chat, end it or state the usage have no text. The field names cannot match inside
// a JSON string, because quotes are escaped there.
func hasToken(data []byte) bool {
	return hasText(data, textField) || hasText(data, contentField)
}

func hasText(data, field []byte) bool {
	index := bytes.Index(data, field)
	if index < 0 {
		return false
	}
	value := bytes.TrimLeft(data[index+len(field):], " ")
	return bytes.HasPrefix(value, emptyText[:1]) && !bytes.HasPrefix(value, emptyText)
}

// isErrorEvent reports whether an event says that the engine aborted the answer.
func isErrorEvent(data []byte) bool {
	return bytes.HasPrefix(data, errorPrefix)
}
