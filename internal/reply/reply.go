// Package reply holds the body with which the table service answers over HTTP.
package reply

import "damaskreach/internal/rows"

// Reply is the JSON body of each answer; an answer fills the fields it needs.
type Reply struct {
	Rows  []rows.Row `json:"rows,omitempty"`  // rows read
	Rev   int64      `json:"rev,omitempty"`   // revision of the reading, or of the write
	Whole bool       `json:"whole,omitempty"` // a tail reached back beyond the history: Rows is all there is
	Keys  []string   `json:"keys,omitempty"`  // keys of a conflict
	Text  string     `json:"text,omitempty"`  // why the call was not carried out
}
