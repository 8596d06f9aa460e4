// Package main starts the radishhollow command line.
package main

import (
	"os"

	"radishhollow/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
