package wire

import (
	"github.com/ansel1/merry/v2"

	"damaskreach/pkg/verd"
)

// fail ends the connection at once.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	c.end(err)
	c.mu.Unlock()
	c.nc.Close()
}

// end notes why the connection ends; the first reason counts. It needs the lock.
func (c *Conn) end(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	close(c.ending)
}

// finish runs when nothing more will be written, so that it is known which Open frames left this process.
func (c *Conn) finish() {
	// After a failed write the socket is of no use and this fails too.
	_ = c.flush()
	c.linger()
	c.unhook()
	c.nc.Close()
	c.mu.Lock()
	streams := c.streams
	written := c.out.written
	c.streams = nil
	err := c.err
	c.mu.Unlock()
	for _, e := range streams {
		e.stream.Fail(verd.Mark(merry.Prependf(err, "connection with node %s ended", c.peer.ID), e.verdict(written)))
	}
	c.cancel(err)
	close(c.ended)
}

// verdict tells whether the peer may have seen the stream's Open frame.
func (e entry) verdict(written int64) verd.Verdict {
	if e.mine && written <= e.start {
		return verd.NotRun
	}
	return verd.MayHaveRun
}

// Wait returns when the handlers of the peer's streams have returned, after Done.
func (c *Conn) Wait() {
	<-c.ended
	c.running.Wait()
}
