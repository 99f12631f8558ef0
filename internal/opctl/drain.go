package opctl

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/catlog"
	"damaskreach/internal/decl"
	"damaskreach/internal/rows"
	"damaskreach/internal/runner"
	"damaskreach/internal/sess"
	"damaskreach/internal/table"
)

const drainText = `drain NODE has a node hand its runners over, finish its requests and end; it needs an operator's key that the node's settings name. drain RUNNER marks the runner's row as leaving: it gets no new requests from then on, and those in progress go to their end.`

type drain struct {
	Args drainArgs `positional-args:"yes"`
}

type drainArgs struct {
	Name string `positional-arg-name:"NODE|RUNNER" required:"yes"`
}

func (c *drain) run(ctx context.Context, t *Tool) error {
	n, err := t.nodes()
	if err != nil {
		return err
	}
	defer n.http.CloseIdleConnections()
	sessions, err := t.sessions(ctx, n)
	if err != nil {
		return err
	}
	found := c.named(sessions)
	isRunner, err := c.isRunner(ctx, t)
	switch {
	case err != nil:
		return err
	case len(found) > 0 && isRunner:
		return merry.Errorf("%s is the name of a node and of a runner; name the node by its session id, such as %s", c.Args.Name, found[0].ID())
	case len(found) > 1:
		return merry.Errorf("%d sessions are of node %s; name one by its id, such as %s", len(found), c.Args.Name, found[0].ID())
	case len(found) == 1:
		return c.node(ctx, t, n, found[0])
	case !isRunner:
		return merry.Errorf("no node and no runner has the name %s", c.Args.Name)
	}
	return t.change(ctx, catlog.Key(catlog.KindRunner, c.Args.Name), leave)
}

func (c *drain) named(sessions []sess.Session) []sess.Session {
	var found []sess.Session
	for _, s := range sessions {
		if s.Node == c.Args.Name || s.ID() == c.Args.Name {
			found = append(found, s)
		}
	}
	return found
}

// isRunner reports whether the table has a runner of the name; with --node alone there is no table to ask.
func (c *drain) isRunner(ctx context.Context, t *Tool) (bool, error) {
	if len(t.options.Tables) == 0 && t.options.Config == "" {
		return false, nil
	}
	tab, _, err := t.connect()
	if err != nil {
		return false, err
	}
	_, err = tab.Read(ctx, catlog.Key(catlog.KindRunner, c.Args.Name))
	if errors.Is(err, table.ErrAbsent) {
		return false, nil
	}
	return err == nil, err
}

func (c *drain) node(ctx context.Context, t *Tool, n nodes, s sess.Session) error {
	if err := n.call(ctx, http.MethodPost, s.Admin, "/drain", nil); err != nil {
		return merry.Prependf(err, "draining node %s", s.ID())
	}
	t.say("node %s drains; 'status' shows it until it has ended", s.ID())
	return nil
}

// leave marks a runner's row.
func leave(now rows.Row) (rows.Row, error) {
	canon, err := decl.Canon(now.Key, now.Value)
	if err != nil {
		return now, err
	}
	var row runner.Runner
	if err := json.Unmarshal(canon, &row); err != nil {
		return now, merry.Prependf(err, "reading row %q", now.Key)
	}
	if row.Leaving {
		return now, merry.Errorf("runner %s is leaving already", row.Name)
	}
	row.Leaving = true
	value, err := json.Marshal(row)
	return now.WithValue(value), err
}
