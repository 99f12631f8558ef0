// Package lines finds the line of each key in a TOML text, which the TOML library does not tell.
package lines

import (
	"fmt"
	"strings"
)

// Lines maps the path of a key, such as "adapter[2].tenant", to its line, counted from 1.
// Members of an array of tables are counted from 0.
type Lines map[string]int

// NewLines scans a text that the TOML library has accepted.
func NewLines(text string) Lines {
	s := scanner{text: text, line: 1, found: Lines{}, counts: map[string]int{}}
	for s.more() {
		s.statement()
	}
	return s.found
}

// Of returns the line of a path, of its nearest parent where the path itself is absent, or 0.
func (l Lines) Of(path string) int {
	for path != "" {
		if line, ok := l[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

type scanner struct {
	text   string
	at     int
	line   int
	table  string // path of the table that the last header opened, with its dot
	found  Lines
	counts map[string]int // members seen of each array of tables
}

func (s *scanner) more() bool {
	return s.at < len(s.text)
}

// next consumes one byte and counts lines.
func (s *scanner) next() byte {
	c := s.text[s.at]
	s.at++
	if c == '\n' {
		s.line++
	}
	return c
}

// statement consumes a blank line, a comment, a header or an assignment.
func (s *scanner) statement() {
	switch c := s.text[s.at]; {
	case strings.IndexByte(" \t\r\n", c) >= 0:
		s.next()
	case c == '#':
		s.comment()
	case c == '[':
		s.header()
	default:
		s.assignment()
	}
}

func (s *scanner) comment() {
	for s.more() && s.text[s.at] != '\n' {
		s.next()
	}
}

func (s *scanner) header() {
	line := s.line
	array := strings.HasPrefix(s.text[s.at:], "[[")
	name := s.until("]")
	path := strings.Trim(name, "[] \t")
	s.comment()
	if array {
		index := s.counts[path]
		s.counts[path]++
		path = fmt.Sprintf("%s[%d]", path, index)
	}
	s.found[path] = line
	s.table = path + "."
}

func (s *scanner) assignment() {
	line := s.line
	name := s.until("=")
	s.found[s.table+strings.Trim(name, " \t\"'")] = line
	s.value()
}

// until consumes up to and including one of the stop bytes outside quotes and returns what stood before it.
func (s *scanner) until(stops string) string {
	start := s.at
	for s.more() {
		c := s.text[s.at]
		switch {
		case strings.IndexByte(stops, c) >= 0:
			s.next()
			return s.text[start : s.at-1]
		case c == '"' || c == '\'':
			s.quoted()
		default:
			s.next()
		}
	}
	return s.text[start:s.at]
}

// value consumes the rest of an assignment: up to the end of the line, outside quotes and brackets.
func (s *scanner) value() {
	depth := 0
	for s.more() {
		switch s.text[s.at] {
		case '"', '\'':
			s.quoted()
			continue
		case '#':
			s.comment()
			continue
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case '\n':
			if depth <= 0 {
				return
			}
		}
		s.next()
	}
}

// quoted consumes a string of any of the four kinds that TOML has.
func (s *scanner) quoted() {
	mark := s.text[s.at : s.at+1]
	escapes := mark == `"`
	if long := strings.Repeat(mark, 3); strings.HasPrefix(s.text[s.at:], long) {
		mark = long
	}
	s.skip(len(mark))
	for s.more() {
		if strings.HasPrefix(s.text[s.at:], mark) {
			s.skip(len(mark))
			return
		}
		if s.next() == '\\' && escapes && s.more() {
			s.next()
		}
	}
}

func (s *scanner) skip(count int) {
	for range min(count, len(s.text)-s.at) {
		s.next()
	}
}
