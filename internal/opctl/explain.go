package opctl

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/event"
)

const explainText = `explain shows decisions, one plain sentence each with the figures it rested on: why a request went where it did or was refused, why an adapter was loaded or unloaded, why a runner changed its owner. Any node is asked; it asks all others of its site and reads what outlasted nodes that are gone. The newest 1000 are shown at the most. --since and --until take a time such as 2026-01-02T15:04:05Z or a span back from now such as 10m.`

type explain struct {
	Request string `long:"request" value-name:"ID" description:"decisions about the request with this id, as in the answer's X-Request-Id"`
	Adapter string `long:"adapter" value-name:"NAME" description:"decisions about an adapter, or one version as NAME@VERSION"`
	Runner  string `long:"runner" value-name:"NAME" description:"decisions about a runner"`
	Kind    string `long:"kind" value-name:"WORD" description:"decisions of this kind, such as unload or overloaded"`
	Since   string `long:"since" value-name:"TIME" description:"not before this"`
	Until   string `long:"until" value-name:"TIME" description:"not after this"`
	Most    int    `long:"most" value-name:"N" default:"1000" description:"show the newest N only"`
	JSON    bool   `long:"json" description:"one JSON object in place of lines"`
}

type explained struct {
	Events []event.Event `json:"events"`
	Silent []string      `json:"silent"`
}

func (c *explain) run(ctx context.Context, t *Tool) error {
	if c.Request == "" && c.Adapter == "" && c.Runner == "" && c.Kind == "" && c.Since == "" {
		return merry.New("explain: give --request, --adapter, --runner, --kind or --since")
	}
	var raw json.RawMessage
	if err := c.ask(ctx, t, &raw); err != nil {
		return err
	}
	var answer explained
	if err := json.Unmarshal(raw, &answer); err != nil {
		return merry.Prepend(err, "reading the node's answer")
	}
	if c.JSON {
		t.say("%s", raw)
	} else {
		c.print(t, answer)
	}
	if len(answer.Silent) > 0 {
		return coded(ExitFault)
	}
	return nil
}

func (c *explain) print(t *Tool, answer explained) {
	for _, e := range answer.Events {
		t.say("%s", e)
	}
	if len(answer.Events) == 0 {
		t.say("no decision found")
	}
	if len(answer.Silent) > 0 {
		t.warn("no answer from %s; what they decided may be missing", some(answer.Silent))
	}
}

// ask asks nodes one after another until one answers.
func (c *explain) ask(ctx context.Context, t *Tool, answer any) error {
	n, err := t.nodes()
	if err != nil {
		return err
	}
	defer n.http.CloseIdleConnections()
	if t.options.Node != "" {
		return merry.Prependf(n.call(ctx, "GET", t.options.Node, c.path(), answer), "asking %s", t.options.Node)
	}
	sessions, err := t.sessions(ctx, n)
	if err != nil {
		return err
	}
	err = merry.New("the table names no node")
	for _, s := range sessions {
		if err = n.call(ctx, "GET", s.Admin, c.path(), answer); err == nil {
			return nil
		}
	}
	return merry.Prepend(err, "no node answers")
}

func (c *explain) path() string {
	v := url.Values{}
	for key, value := range map[string]string{
		"request": c.Request, "adapter": c.Adapter, "runner": c.Runner, "kind": c.Kind, "since": c.Since, "until": c.Until, "most": strconv.Itoa(c.Most),
	} {
		if value != "" {
			v.Set(key, value)
		}
	}
	return "/explain?" + v.Encode()
}
