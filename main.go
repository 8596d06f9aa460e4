// Command radishhollow runs a daemon of the serving system and the tools around it.
package main

import (
	"os"

	"radishhollow/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
