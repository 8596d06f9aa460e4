package engine_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a Run that returns while goroutines of the stand-in still run.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
