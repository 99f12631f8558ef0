// Package stamp marks the value of a row with the edit that wrote it.
package stamp

import (
	"bytes"
	"encoding/json"
)

// Stamp says who wrote a row, by which edit, and what it replaced.
// Nodes ignore it; damaskctl needs it to settle lost answers, to name the winner of a race and to roll back.
type Stamp struct {
	By     string         `json:"by,omitempty"`     // operator
	Edit   string         `json:"edit,omitempty"`   // unique id of the edit
	Over   int64          `json:"over,omitempty"`   // revision it replaced
	After  string         `json:"after,omitempty"`  // id of the edit it replaced
	Before map[string]int `json:"before,omitempty"` // version shares of an adapter before the edit that last changed them
}

// mark opens the stamp, which is the last member of the JSON object.
const mark = `,"stamp":{`

// Add returns the value, a JSON object without a stamp, with the stamp in it.
func (s Stamp) Add(value []byte) []byte {
	data, err := json.Marshal(s)
	if err != nil || len(value) < 2 {
		return value
	}
	body := bytes.TrimSuffix(value, []byte("}"))
	out := make([]byte, 0, len(body)+len(mark)+len(data)+1)
	out = append(out, body...)
	out = append(out, mark[:len(mark)-1]...)
	out = append(out, data...)
	return append(out, '}')
}

// Strip returns the value without its stamp. A stamp that is not the last member stays:
// what follows it is part of the row, and would be lost with it.
func Strip(value []byte) []byte {
	at := bytes.LastIndex(value, []byte(mark))
	if at < 0 || !json.Valid(value[at+len(mark)-1:len(value)-1]) {
		return value
	}
	return append(bytes.Clone(value[:at]), '}')
}

// Of returns the stamp of a value; it is empty where the value has none.
func Of(value []byte) Stamp {
	var holder struct {
		Stamp Stamp `json:"stamp"`
	}
	if json.Unmarshal(value, &holder) != nil {
		return Stamp{}
	}
	return holder.Stamp
}
