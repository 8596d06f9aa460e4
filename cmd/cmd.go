// Package cmd is the command line of radishhollow.
package cmd

import "io"

// Exit codes of every command.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Run executes the command line and returns its exit code.
func Run(_ []string, _, _ io.Writer) int {
	return ExitUsage
}
