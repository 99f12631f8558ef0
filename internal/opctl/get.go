package opctl

import (
	"context"
	"os"
	"slices"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/basis"
	"damaskreach/internal/decl"
	"damaskreach/internal/rows"
)

const getText = `get writes the table into a folder or file, each row into the file where it stood, and notes the revisions in .revisions. A folder that does not exist is made, with CSV files. Edits in the files that were not applied yet are not overwritten unless --overwrite is given or the row is named.`

type get struct {
	Overwrite bool    `long:"overwrite" description:"give up edits in the files that were not applied"`
	Args      getArgs `positional-args:"yes"`
}

type getArgs struct {
	Path string   `positional-arg-name:"DIR" description:"folder of CSV and TOML files, or one TOML file" required:"yes"`
	Rows []string `positional-arg-name:"ROW" description:"only these rows, such as adapter/NAME"`
}

func (c *get) run(ctx context.Context, t *Tool) error {
	tab, _, err := t.connect()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.Within)
	defer cancel()
	d, b, err := t.local(c.Args.Path)
	if err != nil {
		return err
	}
	listing, rev, err := t.list(ctx, tab, b.Rev())
	if err != nil {
		return err
	}
	if len(c.Args.Rows) > 0 {
		return c.some(t, d, b, listing)
	}
	return c.all(t, d, b, listing, rev)
}

// local reads what is in the files now; faults of the rows do not matter, since the table's rows replace them,
// but a file that cannot be read as a whole must not be replaced by what little was understood of it.
func (t *Tool) local(path string) (decl.Decl, basis.Basis, error) {
	if _, err := os.Stat(path); os.IsNotExist(err) {
		return decl.NewDecl(), basis.NewBasis(), nil
	}
	b, err := basis.Load(path)
	if err != nil {
		return decl.Decl{}, b, err
	}
	d, faults := decl.Read(path)
	if len(d.Unread()) == 0 {
		return d, b, nil
	}
	for _, f := range faults {
		t.warn("%v", f)
	}
	return d, b, merry.Errorf("mend or remove %s first", some(d.Unread()))
}

func (c *get) all(t *Tool, d decl.Decl, b basis.Basis, listing []rows.Row, rev int64) error {
	if edited := edits(d, b, listing); len(edited) > 0 && !c.Overwrite {
		t.warn("not written: the files hold edits that were not applied: %s", some(edited))
		t.warn("apply them, or give them up with --overwrite or by naming the rows")
		return coded(ExitFault)
	}
	next, errs := d.WithRows(listing)
	for _, err := range errs {
		t.warn("left out: %v", err)
	}
	if err := next.Save(c.Args.Path); err != nil {
		return err
	}
	if err := basis.NewBasis().With(canonical(listing)).WithRev(rev).Save(c.Args.Path); err != nil {
		return err
	}
	t.say("%s: %s of revision %d", c.Args.Path, count(len(next.Keys()), "row"), rev)
	if len(errs) > 0 {
		return coded(ExitFault)
	}
	return nil
}

// some takes over single rows.
func (c *get) some(t *Tool, d decl.Decl, b basis.Basis, listing []rows.Row) error {
	var taken []rows.Row
	for _, word := range c.Args.Rows {
		row := rows.Row{Key: full(word), Gone: true}
		if at := slices.IndexFunc(listing, func(r rows.Row) bool { return r.Key == row.Key }); at >= 0 {
			row = listing[at]
		}
		next, err := d.WithRow(row)
		if err != nil {
			return err
		}
		d = next
		taken = append(taken, row)
	}
	if err := d.Save(c.Args.Path); err != nil {
		return err
	}
	if err := b.With(canonical(taken)).Save(c.Args.Path); err != nil {
		return err
	}
	t.say("%s: took over %s", c.Args.Path, count(len(taken), "row"))
	return nil
}

// edits returns the rows whose declaration differs from the basis and from the table.
func edits(d decl.Decl, b basis.Basis, listing []rows.Row) []string {
	now := make(map[string]string, len(listing))
	for _, row := range canonical(listing) {
		now[row.Key] = string(row.Value)
	}
	var edited []string
	declared := make(map[string]bool)
	for _, row := range d.Rows() {
		declared[row.Key] = true
		if !b.Same(row.Key, row.Value) && now[row.Key] != string(row.Value) {
			edited = append(edited, short(row.Key))
		}
	}
	for _, key := range b.Keys() {
		if _, exists := now[key]; exists && !declared[key] {
			edited = append(edited, short(key))
		}
	}
	return edited
}

// canonical returns the rows that can be read, with canonical values.
func canonical(listing []rows.Row) []rows.Row {
	out := make([]rows.Row, 0, len(listing))
	for _, row := range listing {
		if row.Gone {
			out = append(out, row)
			continue
		}
		if value, err := decl.Canon(row.Key, row.Value); err == nil {
			out = append(out, row.WithValue(value))
		}
	}
	return out
}
