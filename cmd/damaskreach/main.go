// Command damaskreach runs one node.
package main

import (
	"os"

	"damaskreach/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
