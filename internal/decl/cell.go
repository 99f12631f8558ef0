package decl

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/bind"
)

// Signs inside a cell that holds a list or shares: v1:90;v2:10.
const (
	signNext  = ";"
	signShare = ":"
)

// parseCell sets a field from the text of a cell; an empty cell leaves the field empty.
func parseCell(text string, field reflect.Value) error {
	if text == "" {
		return nil
	}
	switch target := field.Addr().Interface().(type) {
	case *string:
		*target = strings.Clone(text) // the text shares memory with its whole line
	case *int:
		value, err := strconv.Atoi(text)
		if err != nil {
			return merry.Errorf("%q is no whole number", text)
		}
		*target = value
	case *float64:
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			return merry.Errorf("%q is no number", text)
		}
		*target = value
	case *bool:
		value, err := strconv.ParseBool(strings.ToLower(text))
		if err != nil {
			return merry.Errorf("%q is neither true nor false", text)
		}
		*target = value
	case *[]string:
		*target = split(text)
	case *map[string]int:
		shares, err := parseShares(text)
		*target = shares
		return err
	default:
		return merry.Errorf("%q stands in a column of a type that cells cannot hold", text)
	}
	return nil
}

func split(text string) []string {
	var parts []string
	for part := range strings.SplitSeq(text, signNext) {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, strings.Clone(part))
		}
	}
	return parts
}

// parseShares reads version shares such as v1:90;v2:10. A version without a share is a fault:
// it could be meant to get all unversioned requests or none.
func parseShares(text string) (map[string]int, error) {
	shares := make(map[string]int)
	for _, part := range split(text) {
		version, number, ok := strings.Cut(part, signShare)
		version = strings.TrimSpace(version)
		share, err := strconv.Atoi(strings.TrimSpace(number))
		if !ok || err != nil || version == "" {
			return nil, merry.Errorf("%q is no version with its share, such as v1:90", part)
		}
		if _, twice := shares[version]; twice {
			return nil, merry.Errorf("version %q stands twice", version)
		}
		shares[version] = share
	}
	return shares, nil
}

// ParseShares reads version shares from words such as v1=90 or from one text such as v1:90;v2:10.
func ParseShares(words ...string) (map[string]int, error) {
	return parseShares(strings.ReplaceAll(strings.Join(words, signNext), "=", signShare))
}

// FormatShares writes version shares as cells hold them, sorted by version.
func FormatShares(shares map[string]int) string {
	parts := make([]string, 0, len(shares))
	for _, version := range slices.Sorted(maps.Keys(shares)) {
		parts = append(parts, version+signShare+strconv.Itoa(shares[version]))
	}
	return strings.Join(parts, signNext)
}

// formatCell writes a field as parseCell reads it.
func formatCell(field reflect.Value) string {
	if field.IsZero() {
		return ""
	}
	switch value := field.Interface().(type) {
	case []string:
		return strings.Join(value, signNext)
	case map[string]int:
		return FormatShares(value)
	default:
		return fmt.Sprint(value)
	}
}

// Cells returns the fields of a table row that are not empty, as text by their names.
func Cells(key string, value []byte) (map[string]string, error) {
	_, row, err := decode(key, value)
	if err != nil {
		return nil, err
	}
	cells := make(map[string]string)
	fields := reflect.ValueOf(row).Elem()
	for i, name := range bind.Keys(fields.Interface()) {
		if text := formatCell(fields.Field(i)); text != "" {
			cells[name] = text
		}
	}
	return cells, nil
}
