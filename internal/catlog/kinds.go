package catlog

import (
	"encoding/json"
	"strings"

	"damaskreach/internal/adapt"
	"damaskreach/internal/fault"
	"damaskreach/internal/group"
	"damaskreach/internal/runner"
	"damaskreach/internal/table"
	"damaskreach/internal/tenant"
	"damaskreach/internal/tune"
)

// Kinds of rows: the part of a row's key between conf/ and the name.
const (
	KindAdapter = "adapter"
	KindTenant  = "tenant"
	KindGroup   = "group"
	KindRunner  = "runner"
	KindTune    = "tune" // one row without a name
)

// maxValue is the largest value of a row, in bytes.
const maxValue = 64 << 10

// kinds holds the check of each kind; it returns the name inside the value and the faults.
var kinds = map[string]func(value []byte) (string, []fault.Fault){
	KindAdapter: func(value []byte) (string, []fault.Fault) {
		row, faults := decode[adapt.Adapter](value)
		return row.Name, append(faults, row.Faults()...)
	},
	KindTenant: func(value []byte) (string, []fault.Fault) {
		row, faults := decode[tenant.Tenant](value)
		return row.Name, append(faults, row.Faults()...)
	},
	KindGroup: func(value []byte) (string, []fault.Fault) {
		row, faults := decode[group.Group](value)
		return row.Name, append(faults, row.Faults()...)
	},
	KindRunner: func(value []byte) (string, []fault.Fault) {
		row, faults := decode[runner.Runner](value)
		return row.Name, append(faults, row.Faults()...)
	},
	KindTune: func(value []byte) (string, []fault.Fault) {
		row, faults := decodeTune(value)
		return "", append(faults, row.Faults()...)
	},
}

// Key returns the key of a row; name is empty for the options.
func Key(kind, name string) string {
	if name == "" {
		return table.PrefixConf + kind
	}
	return table.PrefixConf + kind + "/" + name
}

// Split returns the kind and the name of a row's key.
func Split(key string) (kind, name string) {
	kind, name, _ = strings.Cut(strings.TrimPrefix(key, table.PrefixConf), "/")
	return kind, name
}

// Check returns what is wrong with the value of a row by itself; other rows are not looked at.
func Check(key string, value []byte) []fault.Fault {
	kind, name := Split(key)
	check, ok := kinds[kind]
	if !ok || Key(kind, name) != key {
		return []fault.Fault{fault.NewFault(key, "is no key of a configuration row")}
	}
	if len(value) > maxValue {
		return []fault.Fault{fault.NewFault(key, "the value has %d bytes; at most %d are allowed", len(value), maxValue)}
	}
	inside, faults := check(value)
	if len(faults) == 0 && inside != name {
		return []fault.Fault{fault.NewFault("name", "%q does not match the row's key", inside)}
	}
	return faults
}

func decode[T any](value []byte) (T, []fault.Fault) {
	var row T
	if err := json.Unmarshal(value, &row); err != nil {
		return row, []fault.Fault{fault.NewFault("", "the value cannot be read: %v", err)}
	}
	return row, nil
}

// decodeTune leaves options that the row does not name at their defaults.
func decodeTune(value []byte) (tune.Tune, []fault.Fault) {
	row := tune.Default()
	if err := json.Unmarshal(value, &row); err != nil {
		return row, []fault.Fault{fault.NewFault("", "the value cannot be read: %v", err)}
	}
	return row, nil
}
