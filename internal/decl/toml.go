package decl

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/BurntSushi/toml"

	"damaskreach/internal/bind"
	"damaskreach/internal/fault"
	"damaskreach/internal/lines"
)

type fields = map[string]toml.Primitive

// toml reads a file that holds rows of any kinds: [[adapter]], [[tenant]], [[group]], [[runner]] and [tune].
func (r *reader) toml(name, text string) {
	at := place{file: name}
	f := file{lines: sync.OnceValue(func() lines.Lines { return lines.NewLines(text) })}
	var tables fields
	meta, err := toml.Decode(text, &tables)
	if err != nil {
		r.tomlSyntax(at, err)
		return
	}
	for _, table := range slices.Sorted(maps.Keys(tables)) {
		if of := kindNamed(table); of != nil {
			f.kinds = append(f.kinds, of)
		}
	}
	r.decl.files[name] = f
	for _, table := range slices.Sorted(maps.Keys(tables)) {
		r.table(at, meta, table, tables[table])
	}
}

func (r *reader) tomlSyntax(at place, err error) {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		r.unread(at, fault.NewFault("", "%v", err))
		return
	}
	r.unread(at, fault.NewFault(parse.LastKey, "%s", parse.Message).WithLine(parse.Position.Line))
}

func (r *reader) table(at place, meta toml.MetaData, name string, data toml.Primitive) {
	top := fault.NewFault(name, "").WithLine(r.tableLine(at.file, name))
	of := kindNamed(name)
	if of == nil {
		top.Text = "unknown table"
		r.unread(at, top)
		return
	}
	if of.single() {
		var one fields
		if err := meta.PrimitiveDecode(data, &one); err != nil {
			top.Text = "must be one table, [" + name + "]"
			r.unread(at, top)
			return
		}
		r.row(place{file: at.file, path: name}, meta, of, one)
		return
	}
	var many []fields
	if err := meta.PrimitiveDecode(data, &many); err != nil {
		top.Text = "must be a list of tables, [[" + name + "]]"
		r.unread(at, top)
		return
	}
	for i, one := range many {
		r.row(place{file: at.file, path: fmt.Sprintf("%s[%d]", name, i)}, meta, of, one)
	}
}

func (r *reader) tableLine(file, name string) int {
	known := r.decl.files[file].lines()
	if line := known.Of(name); line > 0 {
		return line
	}
	return known.Of(name + "[0]")
}

func (r *reader) row(at place, meta toml.MetaData, of *kind, one fields) {
	it := item{kind: of, value: of.fresh(), place: at}
	r.take(it, bind.Table(meta, one, it.value))
}
