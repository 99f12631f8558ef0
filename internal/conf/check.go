package conf

import (
	"cmp"
	"errors"
	"slices"

	"github.com/BurntSushi/toml"

	"damaskreach/internal/bind"
	"damaskreach/internal/fault"
	"damaskreach/internal/lines"
)

// Check returns every fault of a settings text, sorted by line.
// A missing setting has line 0. The secrets file is not read.
func Check(data []byte) []fault.Fault {
	_, faults := parse(data)
	return faults
}

func parse(data []byte) (Conf, []fault.Fault) {
	c := Default()
	var table map[string]toml.Primitive
	meta, err := toml.Decode(string(data), &table)
	if err != nil {
		return c, []fault.Fault{syntax(err)}
	}
	faults := bind.Table(meta, table, &c)
	for _, f := range c.faults() {
		if !slices.ContainsFunc(faults, func(g fault.Fault) bool { return g.Key == f.Key }) {
			faults = append(faults, f)
		}
	}
	where := lines.NewLines(string(data))
	for i, f := range faults {
		faults[i] = f.WithLine(where.Of(f.Key))
	}
	slices.SortStableFunc(faults, func(a, b fault.Fault) int { return cmp.Compare(a.Line, b.Line) })
	return c, faults
}

// syntax turns an error of the TOML parser into a fault.
func syntax(err error) fault.Fault {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return fault.NewFault("", "%v", err)
	}
	return fault.NewFault(parse.LastKey, "%s", parse.Message).WithLine(parse.Position.Line)
}
