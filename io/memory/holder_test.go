package memory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/io/memory"
)

// Guards against the memory of a message that arrives after its request has ended, such as that of a second attempt.
func TestHolder(t *testing.T) {
	released := 0
	var holder memory.Holder
	release := func() { released++ }
	holder.Keep(release)
	holder.Keep(release)
	require.Zero(t, released)
	holder.Close()
	require.Equal(t, 2, released)
	holder.Keep(release)
	require.Equal(t, 3, released)
	holder.Close()
	require.Equal(t, 3, released)
}
