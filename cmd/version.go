package cmd

import (
	"fmt"
	"io"
	"runtime/debug"
)

// RunVersion prints the module version and the Go version from the build information of the binary.
func RunVersion(args []string, stdout, stderr io.Writer) int {
	if code, ok := parseOptions("version", &struct{}{}, args, stdout, stderr); !ok {
		return code
	}
	version, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	_, _ = fmt.Fprintf(stdout, "radishhollow %s (%s)\n", version, goVersion)
	return ExitOK
}
