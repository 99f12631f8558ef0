// Package names checks the names that operators give to rows.
package names

import (
	"strings"
	"unicode"

	"damaskreach/internal/fault"
)

// maxLength is the longest name, in bytes.
const maxLength = 128

// Faults returns what is wrong with a name found under key.
// A name is part of table keys and of adapter@version, so a slash or an at sign in it would make two rows look like one.
func Faults(key, name string) []fault.Fault {
	switch {
	case name == "":
		return []fault.Fault{fault.NewFault(key, "is missing")}
	case len(name) > maxLength:
		return []fault.Fault{fault.NewFault(key, "has %d bytes; at most %d are allowed", len(name), maxLength)}
	}
	if !letterOrDigit(name[0]) {
		// a spreadsheet takes a text that starts with a sign for a formula and saves something else
		return []fault.Fault{fault.NewFault(key, "%q does not start with a letter or a digit", name)}
	}
	for i := range len(name) {
		if !allowed(name[i]) {
			return []fault.Fault{fault.NewFault(key, "%q holds %q; letters, digits, dot, dash and underscore are allowed", name, name[i])}
		}
	}
	return nil
}

func allowed(c byte) bool {
	return letterOrDigit(c) || c == '.' || c == '-' || c == '_'
}

func letterOrDigit(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// LabelFaults returns what is wrong with a free text found under key; it may be empty.
// Blanks at its ends and control characters would not survive a spreadsheet.
func LabelFaults(key, text string) []fault.Fault {
	switch {
	case len(text) > maxLength:
		return []fault.Fault{fault.NewFault(key, "has %d bytes; at most %d are allowed", len(text), maxLength)}
	case text != strings.TrimSpace(text) || strings.ContainsFunc(text, unicode.IsControl):
		return []fault.Fault{fault.NewFault(key, "%q has blanks at its ends or control characters", text)}
	case strings.IndexAny(text, "=+-@") == 0:
		return []fault.Fault{fault.NewFault(key, "%q starts like a formula of a spreadsheet", text)}
	default:
		return nil
	}
}
