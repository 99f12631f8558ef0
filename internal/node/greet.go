package node

import (
	"context"
	"time"
)

const (
	greetWait = 3 * time.Second // for the first reading of the session rows
	greetPoll = 20 * time.Millisecond
	rereadFor = 100 * time.Millisecond // for a reading of the session rows that is brought forward
)

// join takes part in the site: it learns what runners the other nodes own before its session row tells them and callers
// of this node. Named in a discovery answer earlier, it would place requests on the few runners it has heard of.
func (n *Node) join(ctx context.Context) {
	n.greet(ctx)
	n.lease.Run(ctx)
}

// greet does not wait for long: where the table service is down the session cannot be written either, and what this node
// lacks it asks for when a request needs it.
func (n *Node) greet(ctx context.Context) {
	for begin := time.Now(); !n.home.Met(ctx) && time.Since(begin) < greetWait && ctx.Err() == nil; {
		sleep(ctx, greetPoll)
	}
	n.home.Look(ctx)
}

// fetch asks the other nodes, or where none is known those that the settings name, for the digests of their runners.
// Nodes that start together read the session rows before the others have written theirs: those are read again first, or
// calls would wait for the next poll.
func (n *Node) fetch(ctx context.Context) int {
	addrs := n.peers()
	if len(addrs) == 0 || time.Since(n.begun) < greetWait {
		n.owner.Nudge()
		sleep(ctx, rereadFor)
		addrs = n.peers()
	}
	if len(addrs) == 0 {
		addrs = n.seeds()
	}
	return n.share.Fetch(ctx, addrs)
}

// seeds returns the other nodes that the settings name.
func (n *Node) seeds() []string {
	var addrs []string
	for _, addr := range n.Conf.Seeds {
		if addr != n.Conf.Peer {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// staying returns the names of a group's runners that the operators do not mark as leaving.
func (n *Node) staying(group string) []string {
	var names []string
	for _, r := range n.follow.Catalog().Runners(group) {
		if !r.Leaving {
			names = append(names, r.Name)
		}
	}
	return names
}
