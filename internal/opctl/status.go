package opctl

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"damaskreach/internal/digest"
	"damaskreach/internal/sess"
	"damaskreach/internal/table"
	"damaskreach/internal/totals"
)

const statusText = `status asks every node of the site and shows sums first: nodes, runners, slots, loads waiting, the revision in force and who lags, refusals by reason. Up to 20 nodes are listed one by one; of more, only those that lag, do not answer, leave or reject rows are, unless --all is given.`

const (
	watchEvery  = 2 * time.Second
	asked       = 64 // nodes asked at once
	clearScreen = "\x1b[H\x1b[2J"
)

type status struct {
	Watch bool `long:"watch" description:"show it anew every 2 seconds until interrupted"`
	All   bool `long:"all" description:"list every node"`
}

// nodeStatus is what a node says of itself, or why it says nothing.
type nodeStatus struct {
	Session  sess.Session     `json:"session"`
	Rev      int64            `json:"rev"`
	Complete int64            `json:"complete"`
	Rejected []string         `json:"rejected"`
	Known    int              `json:"known"`
	Totals   totals.Totals    `json:"totals"`
	Refusals map[string]int64 `json:"refusals"`
	Ill      []digest.Digest  `json:"ill"`
	Nodes    []sess.Session   `json:"nodes"`
	silent   string
}

func (c *status) run(ctx context.Context, t *Tool) error {
	n, err := t.nodes()
	if err != nil {
		return err
	}
	defer n.http.CloseIdleConnections()
	for {
		text, err := c.look(ctx, t, n)
		switch {
		case !c.Watch && err != nil:
			return err
		case !c.Watch:
			t.say("%s", text)
			return nil
		case err != nil:
			text = err.Error()
		}
		t.say("%s%s\n\n%s", clearScreen, time.Now().Format(time.TimeOnly), text)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchEvery):
		}
	}
}

func (c *status) look(ctx context.Context, t *Tool, n nodes) (string, error) {
	sessions, err := t.sessions(ctx, n)
	if err != nil {
		return "", err
	}
	all := make([]nodeStatus, len(sessions))
	var group errgroup.Group
	group.SetLimit(asked)
	for i, s := range sessions {
		group.Go(func() error {
			all[i] = n.about(ctx, s)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	newest, err := t.newest(ctx, all)
	v := newView(all, newest, c.All)
	if err != nil {
		v.doubt = err.Error()
	}
	return v.String(), nil
}

// newest returns the revision of the newest configuration change that some node may not have yet, or 0. Nodes' own revisions
// are not compared with each other: the table's revision rises with every write of anything, so that the node which read
// the table last always has the highest.
func (t *Tool) newest(ctx context.Context, all []nodeStatus) (int64, error) {
	if len(t.options.Tables) == 0 && t.options.Config == "" {
		return 0, merry.New("the table was not asked; give --table or --config")
	}
	tab, _, err := t.connect()
	if err != nil {
		return 0, err
	}
	changed, _, err := tab.Tail(ctx, table.PrefixConf, oldest(all))
	if err != nil && !errors.Is(err, table.ErrCompacted) {
		return 0, err
	}
	newest := int64(0)
	for _, row := range changed {
		newest = max(newest, row.Rev)
	}
	return newest, nil
}

// oldest returns the revision up to which every node that answers has every change.
func oldest(all []nodeStatus) int64 {
	least := int64(-1)
	for _, n := range all {
		if n.silent == "" && (least < 0 || n.Complete < least) {
			least = n.Complete
		}
	}
	return max(0, least)
}

// about asks a node for its short status.
func (n nodes) about(ctx context.Context, s sess.Session) nodeStatus {
	said, err := n.status(ctx, s.Admin, "?short")
	switch {
	case err != nil:
		return nodeStatus{Session: s, silent: "does not answer: " + err.Error()}
	case said.Session.ID() != s.ID():
		return nodeStatus{Session: s, silent: "its address has been taken by " + said.Session.ID()}
	}
	return said
}

func (n nodes) status(ctx context.Context, addr, query string) (nodeStatus, error) {
	var s nodeStatus
	err := n.call(ctx, "GET", addr, "/status"+query, &s)
	return s, err
}
