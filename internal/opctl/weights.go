package opctl

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/adapt"
	"damaskreach/internal/catlog"
	"damaskreach/internal/commit"
	"damaskreach/internal/decl"
	"damaskreach/internal/rows"
	"damaskreach/internal/stamp"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

const (
	weightsText  = `set-weights changes how the unversioned requests of an adapter are shared among its versions, for a canary: set-weights order-7 v1=90 v2=10. Versions that are not named are no longer served.`
	rollbackText = `rollback gives an adapter the version shares it had before the last edit that changed them, as a new revision. A second rollback goes forward again.`
	removeText   = `remove deletes one row, such as adapter/NAME, also one that cannot be read.`
)

type weights struct {
	Args weightsArgs `positional-args:"yes"`
}

type weightsArgs struct {
	Name   string   `positional-arg-name:"ADAPTER" required:"yes"`
	Shares []string `positional-arg-name:"VERSION=SHARE" required:"1"`
}

func (c *weights) run(ctx context.Context, t *Tool) error {
	shares, err := decl.ParseShares(c.Args.Shares...)
	if err != nil {
		return err
	}
	return t.change(ctx, catlog.Key(catlog.KindAdapter, c.Args.Name), withShares(func(stamp.Stamp) map[string]int { return shares }))
}

type rollback struct {
	Args rollbackArgs `positional-args:"yes"`
}

type rollbackArgs struct {
	Name string `positional-arg-name:"ADAPTER" required:"yes"`
}

func (c *rollback) run(ctx context.Context, t *Tool) error {
	return t.change(ctx, catlog.Key(catlog.KindAdapter, c.Args.Name), withShares(func(s stamp.Stamp) map[string]int { return s.Before }))
}

type remove struct {
	Args removeArgs `positional-args:"yes"`
}

type removeArgs struct {
	Row string `positional-arg-name:"ROW" required:"yes"`
}

func (c *remove) run(ctx context.Context, t *Tool) error {
	return t.change(ctx, full(c.Args.Row), func(now rows.Row) (rows.Row, error) { return now.WithGone(), nil })
}

// withShares makes an edit of an adapter's row that takes its new shares from the row's stamp.
func withShares(pick func(stamp.Stamp) map[string]int) func(now rows.Row) (rows.Row, error) {
	return func(now rows.Row) (rows.Row, error) {
		canon, err := decl.Canon(now.Key, now.Value)
		if err != nil {
			return now, err
		}
		var row adapt.Adapter
		if err := json.Unmarshal(canon, &row); err != nil {
			return now, merry.Prependf(err, "reading row %q", now.Key)
		}
		next := pick(stamp.Of(now.Value))
		if len(next) == 0 {
			return now, merry.Errorf("%s has no former shares to go back to", short(now.Key))
		}
		row.Versions = next
		value, err := json.Marshal(row)
		return now.WithValue(value), err
	}
}

// change reads one row, edits it and writes it against the revision it was read at.
func (t *Tool) change(ctx context.Context, key string, edit func(now rows.Row) (rows.Row, error)) error {
	tab, site, err := t.connect()
	if err != nil {
		return err
	}
	writing, cancel := context.WithTimeout(ctx, t.options.Within)
	defer cancel()
	now, err := t.row(writing, tab, key)
	if err != nil {
		return err
	}
	next, err := edit(now)
	if err != nil {
		return err
	}
	if !next.Gone {
		if faults := catlog.Check(key, next.Value); len(faults) > 0 {
			return faults[0]
		}
	}
	t.say("%s", line(next, now, nil))
	id := t.Edit()
	outcomes := commit.Write(writing, tab, id, []rows.Row{t.stamp(next, now, id)})
	if err := t.report(outcomes); err != nil {
		return err
	}
	return t.inForce(ctx, tab, site, outcomes)
}

// row reads a row, trying again while the table is down.
func (t *Tool) row(ctx context.Context, tab table.Table, key string) (rows.Row, error) {
	for {
		now, err := tab.Read(ctx, key)
		if err == nil {
			return now, nil
		}
		if errors.Is(err, table.ErrAbsent) || !ticker.Sleep(ctx, retryPause) {
			return now, err
		}
	}
}
