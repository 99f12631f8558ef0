package wire

// forget drops a stream that is over.
func (c *Conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.streams[id]
	if !ok {
		return
	}
	delete(c.streams, id)
	if !e.mine {
		c.open--
	}
	c.endIdle()
}

// endIdle ends a connection that takes no more streams when its last one is over. It needs the lock.
func (c *Conn) endIdle() {
	if c.retired && len(c.streams) == 0 {
		c.end(ErrClosed)
	}
}

// Retire opens no more streams on the connection and closes it when the last one is over.
func (c *Conn) Retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.retired = true
	c.endIdle()
}
