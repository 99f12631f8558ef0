// Package outbox queues short texts for messages to other hosts.
package outbox

import "slices"

// maxQueued bounds the texts of each kind that wait, some 60 bytes each; maxTaken is the most in one message.
const maxQueued, maxTaken = 2000, 200

// Outbox holds texts in two queues, those that must not wait for others and the rest. It may be used from one goroutine at a time. The zero value
// is empty.
type Outbox struct {
	urgent, rest []string
}

// Add queues a text, unless too many wait.
func (o *Outbox) Add(text string, urgent bool) {
	queue := &o.rest
	if urgent {
		queue = &o.urgent
	}
	if len(*queue) < maxQueued {
		*queue = append(*queue, text)
	}
}

// Take returns the texts of the next message, the urgent ones first, each kind in the order in which they were added.
func (o *Outbox) Take() []string {
	taken := append([]string(nil), o.urgent[:min(len(o.urgent), maxTaken)]...)
	o.urgent = o.urgent[len(taken):]
	more := min(len(o.rest), maxTaken-len(taken))
	taken = append(taken, o.rest[:more]...)
	o.rest = o.rest[more:]
	return taken
}

// Remove drops the texts that match.
func (o *Outbox) Remove(match func(text string) bool) {
	o.urgent = slices.DeleteFunc(o.urgent, match)
	o.rest = slices.DeleteFunc(o.rest, match)
}
