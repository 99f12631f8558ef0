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
	maxReportBytes = 1 << 20 // bytes
	jsonType       = "application/json"
)

type order struct {
	Model string `json:"model"`
	Fence int64  `json:"fence"`
}

func (c *client) load(ctx context.Context, fence int64, model string) error {
	return c.sendOrder(ctx, PathLoad, order{Model: model, Fence: fence})
}

func (c *client) unload(ctx context.Context, fence int64, model string) error {
	return c.sendOrder(ctx, PathUnload, order{Model: model, Fence: fence})
}

// sendOrder sends an order over a new connection: one left in the buffer of a broken connection
// and sent again later could take effect after the engine has changed owners.
func (c *client) sendOrder(ctx context.Context, path string, o order) error {
	content, err := json.Marshal(o)
	if err != nil {
		return NotRun(merry.Prepend(err, "encoding an order"))
	}
	req, err := c.newControlRequest(http.MethodPost, path, content)
	if err != nil {
		return NotRun(merry.Prepend(err, "creating the request of an order"))
	}
	setHeader(req, "Content-Type", jsonType)
	setHeader(req, HeaderFence, formatNumber(o.Fence))
	res, err := c.send(ctx, c.unpooled, req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		return nil
	}
	if refusal := c.checkRefusal(res); refusal != nil {
		return refusal
	}
	if res.StatusCode == http.StatusBadGateway || res.StatusCode == http.StatusBadRequest {
		return c.newRefusal(res, refuse.LoadFailed)
	}
	return refuse.NewRefusal(verd.MayHaveRun, refuse.Internal, "ordering %s at %s: status %d", path, c.addr, res.StatusCode)
}

func (c *client) report(ctx context.Context) (report.Report, error) {
	var result report.Report
	req, err := c.newControlRequest(http.MethodGet, PathReport, nil)
	if err != nil {
		return result, NotRun(merry.Prepend(err, "creating the request for a report"))
	}
	res, err := c.send(ctx, c.pooled, req) // a report may safely be requested twice
	if err != nil {
		return result, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return result, merry.Errorf("reading the report of %s: unexpected status %d", c.addr, res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&result)
	if err != nil {
		return result, merry.Prepend(err, fmt.Sprintf("reading the report of %s", c.addr))
	}
	drain(res)
	return result, nil
}

func (c *client) newControlRequest(method, path string, content []byte) (*http.Request, error) {
	req, err := http.NewRequest(method, "http://"+c.addr+path, newBody(content))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(content))
	return req, nil
}
