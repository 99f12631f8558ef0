// Command damaskedge runs one entry host on the users' platform.
package main

import (
	"os"

	"damaskreach/platform"
)

func main() {
	os.Exit(platform.Run(os.Args[1:], os.Stdout, os.Stderr))
}
