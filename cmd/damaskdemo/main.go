// Command damaskdemo shows a small fleet at work in one process and checks every answer.
package main

import (
	"os"

	"damaskreach/internal/demo"
)

func main() {
	os.Exit(demo.Run(os.Args[1:], os.Stdout, os.Stderr))
}
