package losses

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// stamp is how hosts write times.
const stamp = "2006-01-02T15:04:05.000Z0700"

// line is what counts here of a line that a host wrote; docs/OPERATIONS.md names the fields.
type line struct {
	Time    string  `json:"ts"`
	Msg     string  `json:"msg"`
	Route   string  `json:"route"`
	Code    string  `json:"code"`
	Team    string  `json:"team"`
	Units   float64 `json:"units"`
	Target  string  `json:"target"`
	Adapter string  `json:"adapter"`
	Version int     `json:"version"`
	Born    int64   `json:"born"`
	Sends   int     `json:"sends"`
	Note    string  `json:"note"`
	Turn    period  `json:"turn"`
	First   period  `json:"first"`
	Pause   period  `json:"pause"`
	Took    period  `json:"took"`
	Goal    period  `json:"goal"`
	Most    period  `json:"most"`
	Warm    bool    `json:"warm"`
	Waited  period  `json:"waited"`
	Behind  string  `json:"behind"`
	Cause   string  `json:"cause"`
	Error   string  `json:"error"`

	at time.Time
}

// period is a duration as hosts write it.
type period time.Duration

// UnmarshalText takes a text such as "1.5s".
func (d *period) UnmarshalText(text []byte) error {
	took, err := time.ParseDuration(string(text))
	*d = period(took)
	return err
}

// parse reads one line; what stands before its object, such as a collector's time and host, is passed over.
func parse(text []byte) (line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return line{}, false
	}
	var x line
	if err := json.Unmarshal(text[begin:], &x); err != nil || x.Msg == "" {
		return line{}, false
	}
	at, err := time.Parse(stamp, x.Time)
	if err != nil {
		return line{}, false
	}
	x.at = at
	return x, true
}

// cause names why a load that was asked for failed.
func (x line) cause() string {
	switch {
	case x.Cause != "":
		return x.Cause
	case strings.Contains(x.Error, "deadline exceeded"):
		return "no answer"
	}
	return "failed"
}
