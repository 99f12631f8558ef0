// Package decl reads and writes operators' declarations: the configuration as files that a spreadsheet or an editor opens.
package decl

import (
	"maps"
	"slices"

	"damaskreach/internal/catlog"
	"damaskreach/internal/lines"
	"damaskreach/internal/rows"
)

// Decl is the configuration that a folder or a file declares. It is immutable.
type Decl struct {
	items map[string]item // by row key
	files map[string]file // by name within the folder
	dir   bool            // a folder of files, rather than one file
	bad   []string        // files of which not everything was understood
}

// item is one declared row.
type item struct {
	kind  *kind
	value any // pointer to the row, never changed once it is here
	place place
	bad   []string // fields that could not be read, and are not checked further
}

// place is where an item was read. Items that come from the table have an empty file.
type place struct {
	file string
	seq  int    // order within the file, from 1; 0 for a row that is new to it
	line int    // of CSV
	path string // of TOML, such as adapter[3]
}

// file is one file of the declaration.
type file struct {
	lines func() lines.Lines // of TOML; scanned on the first call, since only faults need it
	kinds []*kind            // kinds that the file holds, as far as it says so
}

// NewDecl returns an empty declaration, which is saved as a folder.
func NewDecl() Decl {
	return Decl{items: map[string]item{}, files: map[string]file{}, dir: true}
}

// Keys returns the keys of the declared rows, sorted.
func (d Decl) Keys() []string {
	return slices.Sorted(maps.Keys(d.items))
}

// Rows returns the declared rows, sorted by key, with canonical values and without revisions.
func (d Decl) Rows() []rows.Row {
	all := make([]rows.Row, 0, len(d.items))
	for _, key := range d.Keys() {
		all = append(all, rows.Row{Key: key, Value: encode(d.items[key].value)})
	}
	return all
}

// WithRows returns a copy whose content is that of rows and whose rows stay in the files they were in.
// It returns an error for each row that cannot be read; such rows are left out.
func (d Decl) WithRows(all []rows.Row) (Decl, []error) {
	next := Decl{items: make(map[string]item, len(all)), files: d.files, dir: d.dir}
	var errs []error
	for _, row := range all {
		of, value, err := decode(row.Key, row.Value)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		next.items[row.Key] = item{kind: of, value: value, place: d.items[row.Key].place.moved()}
	}
	return next, errs
}

// WithRow returns a copy in which one row is that of the table; a deleted one goes.
func (d Decl) WithRow(row rows.Row) (Decl, error) {
	next := d
	next.items = maps.Clone(d.items)
	if row.Gone {
		delete(next.items, row.Key)
		return next, nil
	}
	of, value, err := decode(row.Key, row.Value)
	if err != nil {
		return d, err
	}
	next.items[row.Key] = item{kind: of, value: value, place: d.items[row.Key].place.moved()}
	return next, nil
}

// Unread returns the files of which some lines or tables were not understood at all.
// Saving would replace them by less than they hold.
func (d Decl) Unread() []string {
	return d.bad
}

// Place returns the file and line that declare a row; both are empty for a row that was not read from a file.
func (d Decl) Place(key string) (string, int) {
	it := d.items[key]
	return it.place.file, d.line(it.place, "")
}

// line returns the line of a field of an item, or of the item itself where the field is absent.
func (d Decl) line(at place, field string) int {
	if at.path == "" {
		return at.line
	}
	return d.files[at.file].lines().Of(at.path + "." + field)
}

// moved returns the place for a row of the table: same file and order, but not on the line that was read.
func (p place) moved() place {
	return place{file: p.file, seq: p.seq}
}

func keyOf(of *kind, value any) string {
	return catlog.Key(of.name, of.nameOf(value))
}
