package rowdb

import (
	"strings"

	"damaskreach/internal/rows"
)

type count struct {
	reads, writes, bytes int64
}

// Count returns the reads, the rows written (or tried) and the bytes of keys and values carried,
// summed over the first path segments that start with prefix; "" sums all.
func (d *DB) Count(prefix string) (reads, writes, bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, c := range d.counts {
		if strings.HasPrefix(name, prefix) {
			reads += c.reads
			writes += c.writes
			bytes += c.bytes
		}
	}
	return reads, writes, bytes
}

func (d *DB) countRead(name string, found []rows.Row) {
	c := d.counter(name)
	c.reads++
	for _, row := range found {
		c.bytes += size(row)
	}
}

func (d *DB) countWrite(edits []rows.Row) {
	for _, e := range edits {
		c := d.counter(segment(e.Key))
		c.writes++
		c.bytes += size(e)
	}
}

func (d *DB) counter(name string) *count {
	c := d.counts[name]
	if c == nil {
		c = &count{}
		d.counts[name] = c
	}
	return c
}

func size(row rows.Row) int64 {
	return int64(len(row.Key) + len(row.Value))
}
