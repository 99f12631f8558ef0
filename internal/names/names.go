// Package names checks the names that operators give to rows.
package names

import "damaskreach/internal/fault"

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
	for i := range len(name) {
		if !allowed(name[i]) {
			return []fault.Fault{fault.NewFault(key, "%q holds %q; letters, digits, dot, dash and underscore are allowed", name, name[i])}
		}
	}
	return nil
}

func allowed(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '-' || c == '_'
	}
}
