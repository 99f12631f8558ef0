package decl

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"reflect"
	"strings"

	"damaskreach/internal/bind"
	"damaskreach/internal/fault"
)

// byteOrderMark is what some spreadsheets put in front of UTF-8 text.
const byteOrderMark = "\ufeff"

// csv reads a file with a header line whose columns are the fields of one kind, in any order.
func (r *reader) csv(name string, data []byte) {
	at := place{file: name, line: 1}
	of := kindOfFile(name)
	if of == nil {
		r.unread(at, fault.NewFault("", "the name of a CSV file begins with groups, tenants, runners or adapters"))
		return
	}
	r.decl.files[name] = file{kinds: []*kind{of}}
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	lines := csv.NewReader(bytes.NewReader(data))
	lines.Comma = delimiter(data)
	lines.FieldsPerRecord = -1 // a wrong number of fields is a fault of its line only
	lines.ReuseRecord = true
	header, err := lines.Read()
	if err != nil {
		r.unread(at, fault.NewFault("", "the header line cannot be read: %v", err))
		return
	}
	columns, ok := r.columns(at, of, header)
	if !ok {
		return
	}
	for {
		record, err := lines.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			r.csvSyntax(name, err)
			return
		}
		at.line, _ = lines.FieldPos(0)
		r.record(at, of, columns, record)
	}
}

// csvSyntax reports an error after which the following lines cannot be told apart.
func (r *reader) csvSyntax(name string, err error) {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		r.unread(place{file: name, line: parse.Line}, fault.NewFault("", "%v; the lines that follow were not read", parse.Err))
		return
	}
	r.unread(place{file: name}, fault.NewFault("", "%v", err))
}

// kindOfFile returns the kind in adapters.csv or adapters-NAME.csv.
func kindOfFile(name string) *kind {
	stem, _, _ := strings.Cut(strings.TrimSuffix(name, endCSV), "-")
	for _, k := range kinds {
		if k.stem == stem && !k.single() {
			return k
		}
	}
	return nil
}

// delimiter returns what separates the columns: spreadsheets in some languages write semicolons or tabs.
func delimiter(data []byte) rune {
	header, _, _ := bytes.Cut(data, []byte("\n"))
	for _, sign := range []rune{',', ';', '\t'} {
		if bytes.ContainsRune(header, sign) {
			return sign
		}
	}
	return ','
}

// columns returns the index of the struct's field for each column.
func (r *reader) columns(at place, of *kind, header []string) ([]int, bool) {
	fields := make(map[string]int)
	for i, key := range bind.Keys(reflect.ValueOf(of.fresh()).Elem().Interface()) {
		fields[key] = i
	}
	columns := make([]int, len(header))
	seen := make(map[string]bool, len(header))
	ok := true
	for i, key := range header {
		key = strings.TrimSpace(key)
		field, known := fields[key]
		if !known {
			r.unread(at, fault.NewFault(key, "is no column of %s", of.stem))
			ok = false
		}
		if seen[key] {
			r.unread(at, fault.NewFault(key, "stands twice in the header"))
			ok = false
		}
		seen[key] = true
		columns[i] = field
	}
	return columns, ok
}

func (r *reader) record(at place, of *kind, columns []int, record []string) {
	if blank(record) {
		return
	}
	if len(record) != len(columns) {
		r.unread(at, fault.NewFault("", "has %d columns; the header has %d", len(record), len(columns)))
		return
	}
	it := item{kind: of, value: of.fresh(), place: at}
	row := reflect.ValueOf(it.value).Elem()
	var faults []fault.Fault
	for i, text := range record {
		if err := parseCell(strings.TrimSpace(text), row.Field(columns[i])); err != nil {
			key := bind.Keys(row.Interface())[columns[i]]
			faults = append(faults, fault.NewFault(key, "%v", err))
		}
	}
	r.take(it, faults)
}

// blank reports whether a record has no text, as the lines do that spreadsheets leave below a table.
func blank(record []string) bool {
	return strings.TrimSpace(strings.Join(record, "")) == ""
}
