package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// Guards against registering an endpoint or daemon under an address that can't be called.
func TestIsAddress(t *testing.T) {
	for text, want := range map[string]bool{
		"10.0.0.1:80": true, "[::1]:80": true, "10.0.0.1:0": false, "10.0.0.1": false, "host:80": false, "": false,
	} {
		require.Equal(t, want, route.IsAddress(text), text)
	}
}
