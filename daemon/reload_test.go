package daemon

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"radishhollow/io/peer"
	"radishhollow/io/settings"
)

// Guards against keys that take effect only at the next start, and against a malformed key in reloaded settings that
// disables the key checks.
func TestReloadAppliesPeerKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := test.NewNullLogger()
		reloads := make(chan settings.Settings)
		r := &peerKeyReloader{reloads: reloads, keys: []string{"aa"}, node: &peer.Node{}, log: log}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		for _, tt := range []struct {
			keys []string
			line string
		}{
			{[]string{"aa"}, ""},
			{[]string{"aa", "bb"}, "keys of peers are in force"},
			{[]string{"aa", "x"}, "keys of peers are refused; the last ones stay in force"},
			{[]string{"bb", "aa"}, "keys of peers are in force"},
		} {
			lines.Reset()
			reloads <- settings.Settings{PeerKeys: tt.keys}
			synctest.Wait()
			if tt.line == "" {
				require.Empty(t, lines.AllEntries())
				continue
			}
			require.Equal(t, tt.line, lines.LastEntry().Message, tt.keys)
		}
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}
