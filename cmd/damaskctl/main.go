// Command damaskctl is the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"damaskreach/internal/opctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(opctl.NewTool(os.Stdout, os.Stderr).Run(ctx, os.Args[1:]))
}
