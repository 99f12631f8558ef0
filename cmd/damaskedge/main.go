// Command damaskedge runs one entry host on the users' platform.
package main

import (
	"os"

	"damaskreach/platform"
)

func main() {
	os.Exit(platform.Run(os.Stdout, os.Stderr))
}
