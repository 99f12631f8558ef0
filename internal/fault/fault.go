// Package fault holds one mistake found in what an operator wrote.
package fault

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Fault says where a mistake is and what is wrong. Fields that do not apply stay zero.
type Fault struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"` // counted from 1
	Key  string `json:"key,omitempty"`  // key of a setting, of a field or of a row
	Rev  int64  `json:"rev,omitempty"`  // revision of the row that is at fault
	Text string `json:"text"`           // plain sentence without a full stop
}

// NewFault returns a fault of key with its text formatted from format and args.
func NewFault(key, format string, args ...any) Fault {
	return Fault{Key: key, Text: fmt.Sprintf(format, args...)}
}

// WithFile returns a copy that names the file.
func (f Fault) WithFile(file string) Fault {
	f.File = file
	return f
}

// WithLine returns a copy that names the line.
func (f Fault) WithLine(line int) Fault {
	f.Line = line
	return f
}

// WithKey returns a copy that names another key.
func (f Fault) WithKey(key string) Fault {
	f.Key = key
	return f
}

// WithRev returns a copy that names the revision of a row.
func (f Fault) WithRev(rev int64) Fault {
	f.Rev = rev
	return f
}

// Error returns file, line, key, revision and text in one line, as compilers do.
func (f Fault) Error() string {
	var out strings.Builder
	if f.File != "" {
		out.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&out, "%d:", f.Line)
	}
	if out.Len() > 0 {
		out.WriteByte(' ')
	}
	if f.Key != "" {
		out.WriteString(f.Key + ": ")
	}
	if f.Rev > 0 {
		fmt.Fprintf(&out, "revision %d: ", f.Rev)
	}
	out.WriteString(f.Text)
	return out.String()
}

// Join returns one error that lists all faults, one a line, or nil where there are none.
func Join(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	texts := make([]string, len(faults))
	for i, f := range faults {
		texts[i] = f.Error()
	}
	return merry.New(strings.Join(texts, "\n"))
}
