package launch

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"damaskreach/internal/conf"
	"damaskreach/internal/node"
)

// rekey reads the settings anew at each SIGHUP and puts their keys in force, so that keys are rotated without a restart.
// With a fault in the file the earlier keys stay: a node without keys would be cut off from the others.
func rekey(ctx context.Context, path string, n *node.Node) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		c, err := conf.Load(path)
		if err != nil {
			n.Log.Error("reading the keys anew failed; the earlier ones stay", zap.Error(err))
			continue
		}
		n.Rekey(ctx, c)
	}
}
