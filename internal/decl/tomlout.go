package decl

import (
	"bytes"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"damaskreach/internal/bind"
)

// formatTOML writes one table per row; empty fields are left out, since reading gives the same without them.
func formatTOML(items []item) ([]byte, error) {
	var out bytes.Buffer
	for i, it := range items {
		if i > 0 {
			out.WriteByte('\n')
		}
		header := "[[" + it.kind.name + "]]\n"
		if it.kind.single() {
			header = "[" + it.kind.name + "]\n"
		}
		out.WriteString(header)
		if err := formatRow(&out, it); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}

func formatRow(out *bytes.Buffer, it item) error {
	row := reflect.ValueOf(it.value).Elem()
	for i, key := range bind.Keys(row.Interface()) {
		if row.Field(i).IsZero() && !it.kind.single() {
			continue // the options keep their zeros: an absent option means its default
		}
		text, err := formatValue(row.Field(i).Interface())
		if err != nil {
			return err
		}
		out.WriteString(key + " = " + text + "\n")
	}
	return nil
}

func formatValue(value any) (string, error) {
	switch value := value.(type) {
	case map[string]int:
		return formatInline(value)
	case int:
		return strconv.Itoa(value), nil
	case bool:
		return strconv.FormatBool(value), nil
	case time.Duration:
		return strconv.Quote(value.String()), nil
	default:
		return formatPlain(value)
	}
}

// formatInline writes shares on one line, where the library would open a table of its own for them.
func formatInline(shares map[string]int) (string, error) {
	parts := make([]string, 0, len(shares))
	for _, version := range slices.Sorted(maps.Keys(shares)) {
		key, err := formatPlain(version)
		if err != nil {
			return "", err
		}
		parts = append(parts, key+" = "+strconv.Itoa(shares[version]))
	}
	return "{ " + strings.Join(parts, ", ") + " }", nil
}

// formatPlain lets the library write numbers, lists and texts that need escapes.
func formatPlain(value any) (string, error) {
	if text, ok := value.(string); ok && !strings.ContainsFunc(text, escaped) {
		return `"` + text + `"`, nil
	}
	data, err := toml.Marshal(map[string]any{"v": value})
	return strings.TrimSpace(strings.TrimPrefix(string(data), "v = ")), err
}

// escaped reports whether a character may not stand in a TOML string as it is.
func escaped(c rune) bool {
	return c < ' ' || c > '~' || c == '"' || c == '\\'
}
