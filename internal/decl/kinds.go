package decl

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/adapt"
	"damaskreach/internal/catlog"
	"damaskreach/internal/fault"
	"damaskreach/internal/group"
	"damaskreach/internal/runner"
	"damaskreach/internal/stamp"
	"damaskreach/internal/tenant"
	"damaskreach/internal/tune"
)

// kind says how rows of one kind are declared.
type kind struct {
	name   string // as in row keys and TOML tables
	stem   string // of the usual file name
	fresh  func() any
	nameOf func(value any) string
	faults func(value any) []fault.Fault
	refs   func(value any) []ref
}

// ref is a field that names another row.
type ref struct {
	field string
	key   string // of the row named
}

// kinds are in the order in which rows depend on each other.
var kinds = []*kind{
	newKind(catlog.KindGroup, "groups", group.Group{},
		func(g group.Group) string { return g.Name }, group.Group.Faults, nil),
	newKind(catlog.KindTenant, "tenants", tenant.Tenant{},
		func(t tenant.Tenant) string { return t.Name }, tenant.Tenant.Faults, nil),
	newKind(catlog.KindRunner, "runners", runner.Runner{},
		func(r runner.Runner) string { return r.Name }, runner.Runner.Faults,
		func(r runner.Runner) []ref { return []ref{{"group", catlog.Key(catlog.KindGroup, r.Group)}} }),
	newKind(catlog.KindAdapter, "adapters", adapt.Adapter{},
		func(a adapt.Adapter) string { return a.Name }, adapt.Adapter.Faults,
		func(a adapt.Adapter) []ref {
			return []ref{{"tenant", catlog.Key(catlog.KindTenant, a.Tenant)}, {"group", catlog.Key(catlog.KindGroup, a.Group)}}
		}),
	newKind(catlog.KindTune, "tune", tune.Default(),
		func(tune.Tune) string { return "" }, tune.Tune.Faults, nil),
}

func newKind[T any](name, stem string, blank T, nameOf func(T) string, faults func(T) []fault.Fault, refs func(T) []ref) *kind {
	return &kind{
		name: name,
		stem: stem,
		fresh: func() any {
			value := blank
			return &value
		},
		nameOf: func(value any) string { return nameOf(*value.(*T)) },
		faults: func(value any) []fault.Fault { return faults(*value.(*T)) },
		refs: func(value any) []ref {
			if refs == nil {
				return nil
			}
			return refs(*value.(*T))
		},
	}
}

// single reports whether there is one row of the kind, without a name.
func (k *kind) single() bool {
	return k.name == catlog.KindTune
}

func kindNamed(name string) *kind {
	for _, k := range kinds {
		if k.name == name {
			return k
		}
	}
	return nil
}

// Order returns the place of a row's kind among all kinds: rows depend only on kinds with a lower one.
func Order(key string) int {
	name, _ := catlog.Split(key)
	for i, k := range kinds {
		if k.name == name {
			return i
		}
	}
	return len(kinds)
}

// Canon returns the value of a table row as Rows gives it, without the stamp of its edit.
func Canon(key string, value []byte) ([]byte, error) {
	_, row, err := decode(key, value)
	if err != nil {
		return nil, err
	}
	return encode(row), nil
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encoding a row of plain fields: %v", err)) // no row type has a field that can fail
	}
	return data
}

// decode reads the value of a table row. A field that this release does not know is an error:
// were it dropped, an older damaskctl would undo what a newer one wrote without anyone being told.
func decode(key string, value []byte) (*kind, any, error) {
	name, _ := catlog.Split(key)
	of := kindNamed(name)
	if of == nil {
		return nil, nil, merry.Errorf("reading row %q: this release knows no rows of kind %q", key, name)
	}
	row := of.fresh()
	dec := json.NewDecoder(bytes.NewReader(stamp.Strip(value)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(row); err != nil {
		return nil, nil, merry.Prependf(err, "reading row %q", key)
	}
	if inside := keyOf(of, row); inside != key {
		return nil, nil, merry.Errorf("reading row %q: its value is that of %q", key, inside)
	}
	return of, row, nil
}

// Refs returns the keys of the rows that a table row names.
func Refs(key string, value []byte) ([]string, error) {
	of, row, err := decode(key, value)
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, r := range of.refs(row) {
		keys = append(keys, r.key)
	}
	return keys, nil
}
