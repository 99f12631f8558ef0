// Package bind decodes a TOML table into a struct and reports every fault rather than the first.
package bind

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"damaskreach/internal/fault"
)

// Table sets the fields of the struct dst points to from the values of table, by their toml tags.
// It returns a fault for each key that is unknown or of the wrong type; the other fields are set all the same.
func Table(meta toml.MetaData, table map[string]toml.Primitive, dst any) []fault.Fault {
	fields := byTag(reflect.ValueOf(dst).Elem())
	var faults []fault.Fault
	for _, key := range slices.Sorted(maps.Keys(table)) {
		field, ok := fields[key]
		if !ok {
			faults = append(faults, fault.NewFault(key, "unknown key"))
			continue
		}
		if err := meta.PrimitiveDecode(table[key], field.Addr().Interface()); err != nil {
			faults = append(faults, fault.NewFault(key, "%s", plain(err)))
		}
	}
	return faults
}

// Keys returns the toml keys of a struct in the order of its fields.
func Keys(example any) []string {
	var keys []string
	kind := reflect.TypeOf(example)
	for i := range kind.NumField() {
		if key := tag(kind.Field(i)); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

func byTag(of reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, of.NumField())
	for i := range of.NumField() {
		if key := tag(of.Type().Field(i)); key != "" {
			fields[key] = of.Field(i)
		}
	}
	return fields
}

func tag(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	if key == "-" {
		return ""
	}
	return key
}

// plain strips the library's position, which is wrong for values decoded one by one.
func plain(err error) string {
	text := err.Error()
	if _, after, ok := strings.Cut(text, "): "); ok && strings.HasPrefix(text, "toml: line") {
		return after
	}
	return strings.TrimPrefix(text, "toml: ")
}
