package decl

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/bind"
)

const (
	modeFile = 0o644
	modeDir  = 0o755
)

// Save writes the declaration to path in the form in which it was read: each row into its file and in its order,
// new rows at the end of the first file that holds their kind. A path that does not exist becomes a folder of CSV files.
func (d Decl) Save(path string) error {
	dir := path
	if !d.dir && len(d.files) > 0 {
		dir = filepath.Dir(path)
	}
	if err := os.MkdirAll(dir, modeDir); err != nil {
		return merry.Prepend(err, "saving the declaration")
	}
	sheets := d.sheets()
	for _, name := range slices.Sorted(maps.Keys(sheets)) {
		data, err := format(name, sheets[name])
		if err != nil {
			return merry.Prependf(err, "saving %s", name)
		}
		if err := replace(filepath.Join(dir, name), data); err != nil {
			return merry.Prependf(err, "saving %s", name)
		}
	}
	return nil
}

// sheets returns the items of each file in their order; a file that lost all its rows stays, empty.
func (d Decl) sheets() map[string][]item {
	sheets := make(map[string][]item)
	for name := range d.files {
		sheets[name] = nil
	}
	for _, key := range d.Keys() {
		it := d.items[key]
		name := it.place.file
		if name == "" {
			name = d.home(it.kind)
		}
		sheets[name] = append(sheets[name], it)
	}
	for _, items := range sheets {
		slices.SortStableFunc(items, func(a, b item) int { return cmp.Compare(a.rank(), b.rank()) })
	}
	return sheets
}

// rank puts new rows last.
func (it item) rank() uint {
	return uint(it.place.seq) - 1
}

// home returns the file for new rows of a kind.
func (d Decl) home(of *kind) string {
	names := slices.Sorted(maps.Keys(d.files))
	for _, name := range names {
		if slices.Contains(d.files[name].kinds, of) {
			return name
		}
	}
	if !d.dir && len(names) == 1 {
		return names[0]
	}
	if of.single() {
		return of.stem + endTOML
	}
	return of.stem + endCSV
}

func format(name string, items []item) ([]byte, error) {
	if filepath.Ext(name) == endCSV {
		return formatCSV(kindOfFile(name), items)
	}
	return formatTOML(items)
}

func formatCSV(of *kind, items []item) ([]byte, error) {
	var out bytes.Buffer
	sheet := csv.NewWriter(&out)
	keys := bind.Keys(reflect.ValueOf(of.fresh()).Elem().Interface())
	if err := sheet.Write(keys); err != nil {
		return nil, err
	}
	for _, it := range items {
		row := reflect.ValueOf(it.value).Elem()
		record := make([]string, len(keys))
		for i := range keys {
			record[i] = formatCell(row.Field(i))
		}
		if err := sheet.Write(record); err != nil {
			return nil, err
		}
	}
	sheet.Flush()
	return out.Bytes(), sheet.Error()
}

// replace writes a file beside the old one and renames it:
// were it written in place, an interruption would leave half a table, which reads like many deletions.
func replace(path string, data []byte) error {
	temp := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(temp, data, modeFile); err != nil {
		return err
	}
	return os.Rename(temp, path)
}
