// Command damaskreach runs one node.
package main

import (
	"os"

	"damaskreach/internal/launch"
)

func main() {
	os.Exit(launch.Run(os.Args[1:], os.Stdout, os.Stderr))
}
