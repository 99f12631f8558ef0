package opctl

import (
	"context"

	"damaskreach/internal/decl"
)

const checkText = `check reads a folder or file and names every fault with its file, line and key. It needs no table.`

// declaration is the argument of commands about a declaration.
type declaration struct {
	Path string `positional-arg-name:"DIR" description:"folder of CSV and TOML files, or one TOML file" required:"yes"`
}

type check struct {
	Args declaration `positional-args:"yes"`
}

func (c *check) run(_ context.Context, t *Tool) error {
	d, err := t.read(c.Args.Path)
	if err != nil {
		return err
	}
	t.say("%s: %d rows, no fault found", c.Args.Path, len(d.Keys()))
	return nil
}

// read reads a declaration and reports every fault of it.
func (t *Tool) read(path string) (decl.Decl, error) {
	d, faults := decl.Read(path)
	for _, f := range faults {
		t.warn("%v", f)
	}
	if len(faults) > 0 {
		t.warn("%s: %s; nothing was written", path, count(len(faults), "fault"))
		return d, coded(ExitFault)
	}
	return d, nil
}
