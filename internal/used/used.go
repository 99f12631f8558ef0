// Package used defines what a process tells the next one on its host of the retries that it has used.
package used

import (
	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Used is what a process has used of its host's part of the constant extra within a window. The zero value is nothing.
type Used struct {
	Hosts  int                `msgpack:"hosts"` // the most hosts among which the extra was divided
	Groups map[string]float64 `msgpack:"used"`  // retries by group of upstreams; one that is missing had none
}

// Encode returns the form that Decode reads.
func (u Used) Encode() string {
	data, err := msgpack.Marshal(u)
	if err != nil {
		panic("used: encoding plain fields: " + err.Error())
	}
	return string(data)
}

// Decode reads what Encode has returned. Nothing is the zero value.
func Decode(text string) (u Used, err error) {
	if text == "" {
		return u, nil
	}
	err = msgpack.Unmarshal([]byte(text), &u)
	return u, merry.Prepend(err, "used: decoding what was used of the retries")
}
