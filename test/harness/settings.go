package harness

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

// Settings are the settings of one daemon as a test needs them.
type Settings struct {
	// Listen, Operator and Peer are the addresses of the three listeners.
	Listen      string   `toml:"listen"`
	Operator    string   `toml:"operator"`
	Peer        string   `toml:"peer"`
	Place       string   `toml:"place"`
	Platform    string   `toml:"platform"`
	CursorKeys  []string `toml:"cursor-keys"`
	OperatorKey string   `toml:"operator-key"`
}

// WriteSettings writes the settings of a daemon as TOML and returns the path of the file.
func WriteSettings(t testing.TB, s Settings) string {
	t.Helper()
	data, err := toml.Marshal(s)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}
