// Command damaskstand serves stand-ins of the platform's services and of upstreams in one process.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"damaskreach/internal/stand/serve"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := serve.Run(ctx, os.Args[1:], serve.Listen, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
