// Package harness starts whole deployments as real processes for integration tests.
package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// raceVariable is the environment variable that, where set, adds the race detector to the binary.
const raceVariable = "RADISHHOLLOW_TEST_RACE"

var buildOnce = sync.OnceValues(build)

// Binary builds radishhollow once per test process and returns its path, .bin/radishhollow-test in the repository.
func Binary(t testing.TB) string {
	t.Helper()
	path, err := buildOnce()
	require.NoError(t, err)
	return path
}

// build writes to a name of its own and renames the result, because the tests of several packages build at once and
// a file that runs can't be overwritten.
func build() (string, error) {
	root, err := findRoot()
	if err != nil {
		return "", err
	}
	target := filepath.Join(root, ".bin", "radishhollow-test")
	unique := target + "-" + strconv.Itoa(os.Getpid())
	args := []string{"build", "-o", unique}
	if os.Getenv(raceVariable) != "" {
		args = append(args, "-race")
	}
	command := exec.CommandContext(context.Background(), "go", append(args, ".")...)
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return "", BuildError{Output: string(output), Cause: err}
	}
	return target, os.Rename(unique, target)
}

// findRoot returns the closest directory above the working directory that holds go.mod.
func findRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", os.ErrNotExist
		}
		dir = parent
	}
}
