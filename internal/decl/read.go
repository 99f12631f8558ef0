package decl

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"damaskreach/internal/fault"
)

// Endings of the files that make up a declaration.
const (
	endCSV  = ".csv"
	endTOML = ".toml"
)

// maxFile is the largest file that is read, in bytes.
const maxFile = 1 << 30

// Read reads a folder of CSV and TOML files, or one such file, and checks it whole.
// It returns every fault with file, line and key. Other files in the folder are left alone.
func Read(path string) (Decl, []fault.Fault) {
	info, err := os.Stat(path)
	if err != nil {
		return Decl{}, []fault.Fault{fault.NewFault("", "cannot be read: %v", err).WithFile(path)}
	}
	r := reader{decl: Decl{items: map[string]item{}, files: map[string]file{}, dir: info.IsDir()}}
	names := []string{filepath.Base(path)}
	dir := filepath.Dir(path)
	if info.IsDir() {
		dir = path
		names = r.list(path)
	}
	for _, name := range names {
		r.file(dir, name)
	}
	r.check()
	slices.SortStableFunc(r.faults, func(a, b fault.Fault) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return r.decl, r.faults
}

// reader gathers items and faults.
type reader struct {
	decl   Decl
	faults []fault.Fault
}

func (r *reader) list(dir string) []string {
	entries, err := os.ReadDir(dir)
	if err != nil {
		r.unread(place{file: dir}, fault.NewFault("", "cannot be read: %v", err))
	}
	var names []string
	for _, entry := range entries {
		if entry.IsDir() || strings.HasPrefix(entry.Name(), ".") {
			continue
		}
		if end := filepath.Ext(entry.Name()); end == endCSV || end == endTOML {
			names = append(names, entry.Name())
		}
	}
	return names
}

func (r *reader) file(dir, name string) {
	at := place{file: name}
	info, err := os.Stat(filepath.Join(dir, name))
	if err == nil && info.Size() > maxFile {
		r.unread(at, fault.NewFault("", "has %d bytes; at most %d are read", info.Size(), maxFile))
		return
	}
	data, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		r.unread(at, fault.NewFault("", "cannot be read: %v", err))
		return
	}
	if filepath.Ext(name) == endCSV {
		r.csv(name, data)
		return
	}
	r.toml(name, string(data))
}

// take takes in an item some of whose fields could not be read.
// One without a name is left out, since its faults are reported and nothing can refer to it.
func (r *reader) take(it item, faults []fault.Fault) {
	for _, f := range faults {
		r.itemFault(it, f)
		it.bad = append(it.bad, f.Key)
	}
	if len(faults) == 0 || it.kind.nameOf(it.value) != "" {
		r.add(it)
	}
}

// add takes in an item; the first of two with one key stays.
func (r *reader) add(it item) {
	key := keyOf(it.kind, it.value)
	if first, ok := r.decl.items[key]; ok {
		file, line := first.place.file, r.decl.line(first.place, "")
		r.itemFault(it, fault.NewFault("name", "stands twice; it is first in %s:%d", file, line))
		return
	}
	it.place.seq = len(r.decl.items) + 1
	r.decl.items[key] = it
}

// itemFault reports a fault of one field of an item.
func (r *reader) itemFault(it item, f fault.Fault) {
	f = f.WithLine(r.decl.line(it.place, f.Key))
	name := it.kind.name
	if inside := it.kind.nameOf(it.value); inside != "" {
		name += "/" + inside
	}
	r.fault(it.place, f.WithKey(strings.TrimSuffix(name+"."+f.Key, ".")))
}

// unread reports a fault because of which part of a file was not understood.
func (r *reader) unread(at place, f fault.Fault) {
	if !slices.Contains(r.decl.bad, at.file) {
		r.decl.bad = append(r.decl.bad, at.file)
	}
	r.fault(at, f)
}

func (r *reader) fault(at place, f fault.Fault) {
	if f.Line == 0 {
		f = f.WithLine(at.line)
	}
	r.faults = append(r.faults, f.WithFile(at.file))
}

// check looks at each item by itself and at the rows it names.
func (r *reader) check() {
	for _, key := range r.decl.Keys() {
		it := r.decl.items[key]
		for _, f := range it.kind.faults(it.value) {
			if !slices.Contains(it.bad, f.Key) {
				r.itemFault(it, f)
			}
		}
		for _, ref := range it.kind.refs(it.value) {
			if _, ok := r.decl.items[ref.key]; !ok && !strings.HasSuffix(ref.key, "/") {
				r.itemFault(it, fault.NewFault(ref.field, "there is no %s", strings.TrimPrefix(ref.key, "conf/")))
			}
		}
	}
	r.checkKeys()
}
