// Package harness starts complete deployments as real processes for integration tests.
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

// raceVariable is the environment variable that enables the race detector in the binary if it is not empty.
const raceVariable = "RADISHHOLLOW_TEST_RACE"

var buildOnce = sync.OnceValues(build)

// Binary builds radishhollow once per test process and returns the path of the binary, .bin/radishhollow-test in the
// repository.
func Binary(t testing.TB) string {
	t.Helper()
	path, err := buildOnce()
	require.NoError(t, err)
	return path
}

// build writes to a temporary path and renames the result, because the tests of several packages build concurrently
// and an executable that is running cannot be overwritten.
func build() (string, error) {
	root, err := findModuleRoot()
	if err != nil {
		return "", err
	}
	target := filepath.Join(root, ".bin", "radishhollow-test")
	tempPath := target + "-" + strconv.Itoa(os.Getpid())
	args := []string{"build", "-o", tempPath}
	if os.Getenv(raceVariable) != "" {
		args = append(args, "-race")
	}
	command := exec.CommandContext(context.Background(), "go", append(args, ".")...)
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return "", BuildError{Output: string(output), Cause: err}
	}
	return target, os.Rename(tempPath, target)
}

// findModuleRoot returns the working directory or its closest parent that contains go.mod.
func findModuleRoot() (string, error) {
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
