package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"damaskreach/internal/report"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"

	"github.com/ansel1/merry/v2"
)

const (
	reportLimit = 1 << 20 // bytes of a report
	jsonKind    = "application/json"
)

type order struct {
	Model string `json:"model"`
	Fence int64  `json:"fence"`
}

func (c *client) load(ctx context.Context, fence int64, model string) error {
	return c.order(ctx, PathLoad, order{Model: model, Fence: fence})
}

func (c *client) unload(ctx context.Context, fence int64, model string) error {
	return c.order(ctx, PathUnload, order{Model: model, Fence: fence})
}

// order gives an order over a connection of its own: one that lay in a broken connection's buffer
// and was sent again later could take effect after the ownership has moved on.
func (c *client) order(ctx context.Context, path string, o order) error {
	content, err := json.Marshal(o)
	if err != nil {
		return NotRun(merry.Prepend(err, "writing an order"))
	}
	req, err := c.control(http.MethodPost, path, content)
	if err != nil {
		return NotRun(merry.Prepend(err, "forming an order"))
	}
	set(req, "Content-Type", jsonKind)
	set(req, HeaderFence, number(o.Fence))
	res, err := c.send(ctx, c.fresh, req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		return nil
	}
	if refusal := c.refused(res); refusal != nil {
		return refusal
	}
	if res.StatusCode == http.StatusBadGateway || res.StatusCode == http.StatusBadRequest {
		return c.refusal(res, refuse.LoadFailed)
	}
	return refuse.NewRefusal(verd.MayHaveRun, refuse.Internal, "ordering %s at %s: status %d", path, c.addr, res.StatusCode)
}

func (c *client) report(ctx context.Context) (report.Report, error) {
	var said report.Report
	req, err := c.control(http.MethodGet, PathReport, nil)
	if err != nil {
		return said, NotRun(merry.Prepend(err, "forming a request for a report"))
	}
	res, err := c.send(ctx, c.pooled, req) // a report asked for twice does no harm
	if err != nil {
		return said, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return said, merry.Errorf("reading the report of %s: status %d", c.addr, res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, reportLimit)).Decode(&said)
	if err != nil {
		return said, merry.Prepend(err, fmt.Sprintf("reading the report of %s", c.addr))
	}
	drain(res)
	return said, nil
}

func (c *client) control(method, path string, content []byte) (*http.Request, error) {
	req, err := http.NewRequest(method, "http://"+c.addr+path, newBody(content))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(content))
	return req, nil
}
