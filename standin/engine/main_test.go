package engine_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against a Run that returns before all goroutines of the stand-in have ended.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
