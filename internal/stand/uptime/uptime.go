// Package uptime holds when a stand-in upstream is up, and cuts its connections when it crashes.
package uptime

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Uptime starts up; each crash begins a new boot.
type Uptime struct {
	mu      sync.Mutex
	boot    string
	ctx     context.Context // ends with the boot
	cancel  context.CancelFunc
	since   time.Time
	stopped bool
}

// NewUptime returns an upstream that is up.
func NewUptime() *Uptime {
	u := &Uptime{}
	u.begin(time.Time{})
	return u
}

func (u *Uptime) begin(since time.Time) {
	u.boot = rand.Text()
	u.ctx, u.cancel = context.WithCancel(context.Background())
	u.since = since
}

// Boot returns a context that ends with the present boot, and the id of that boot.
func (u *Uptime) Boot() (context.Context, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ctx, u.boot
}

// Up reports whether requests are accepted.
func (u *Uptime) Up() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.stopped && !time.Now().Before(u.since)
}

// Crash ends the present boot; the next one accepts requests after restart.
func (u *Uptime) Crash(restart time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancel()
	if !u.stopped {
		u.begin(time.Now().Add(restart))
	}
}

// Stop ends the present boot for good.
func (u *Uptime) Stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	u.cancel()
}

// Run serves h on the listeners that listen returns until ctx ends.
// After a crash nothing listens until the restart, so that dials are refused.
func (u *Uptime) Run(ctx context.Context, listen func() (net.Listener, error), h http.Handler) error {
	defer context.AfterFunc(ctx, u.Stop)()
	for ctx.Err() == nil {
		boot, _ := u.Boot()
		if !Pause(boot, u.wait()) {
			continue
		}
		lis, err := listen()
		if err != nil {
			return merry.Prepend(err, "listening as an upstream")
		}
		if err := serve(boot, lis, h); err != nil {
			return merry.Prepend(err, "serving as an upstream")
		}
	}
	return nil
}

func (u *Uptime) wait() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Until(u.since)
}

// serve answers the connections of lis until the boot ends, and then cuts them all.
// It returns an error where lis ended before the boot.
func serve(boot context.Context, lis net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h}
	defer context.AfterFunc(boot, func() { server.Close() })()
	defer server.Close()
	err := server.Serve(lis)
	if boot.Err() != nil {
		return nil
	}
	return err
}

// Pause waits for d and reports whether ctx is still live.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
