package node

import (
	"context"

	"damaskreach/internal/conf"
)

// Rekey puts the keys of other settings in force, those that nodes share and those of operators. Connections that are open
// stay: their peers have proved themselves already. It waits until Run has built the node or ctx ends.
func (n *Node) Rekey(ctx context.Context, c conf.Conf) {
	select {
	case <-ctx.Done():
		return
	case <-n.ready:
	}
	n.mesh.Rekey(secrets(c))
	n.keys.Store(&c.Operators)
	n.Log.Info("read the keys anew")
}

func (n *Node) operators() []string {
	return *n.keys.Load()
}
