package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const valid = `place = "liberia"
listen = "0.0.0.0:8080"
operator-listen = "127.0.0.1:8081"
peer-listen = "127.0.0.1:8082"
platform = "127.0.0.1:9000"
peers = ["[::1]:8082"]
operator-key-digest = "2222222222222222222222222222222222222222222222222222222222222222"
cursor-keys = ["2222222222222222222222222222222222222222222222222222222222222222"]
[timeouts]
queue-wait = "1.5s"
[limits]
queue-length = 3
`

func loadText(t *testing.T, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

func TestLoadFillsDefaults(t *testing.T) {
	s, err := loadText(t, valid)
	require.NoError(t, err)
	require.Equal(t, []string{"[::1]:8082"}, s.Peers)
	require.Equal(t, 1500*time.Millisecond, s.Timeouts.QueueWait.Duration)
	require.Equal(t, 3, s.Limits.QueueLength)
	require.Equal(t, Defaults().Timeouts.LeaseTTL, s.Timeouts.LeaseTTL)
	require.Zero(t, s.Timeouts.Drain)
}

func TestLoadReportsTheKeyAndReason(t *testing.T) {
	for _, test := range []struct{ name, old, new, key, reason string }{
		{"unknown key", "place", "plaza", "plaza", "unknown key"},
		{"unknown nested key", "queue-wait", "que-wait", "timeouts.que-wait", "unknown key"},
		{"unknown table", "[limits]", "[limit]", "limit", "unknown key"},
		{"missing place", "liberia", " ", "place", "missing"},
		{"missing address", "platform =", "log-level =", "platform", "missing"},
		{"host name", "0.0.0.0:8080", "localhost:8080", "listen", "host name"},
		{"host name of a peer", "[::1]:8082", "peer-1.example:80", "peers[0]", "host name"},
		{"no port", "0.0.0.0:8080", "0.0.0.0", "listen", "IP:PORT"},
		{"port 0", "0.0.0.0:8080", "0.0.0.0:0", "listen", "port 0"},
		{"unspecified peer address", "127.0.0.1:8082", "0.0.0.0:8082", "peer-listen", "unspecified address"},
		{"address twice", "127.0.0.1:8081", "0.0.0.0:8080", "operator-listen", "already used by listen"},
		{"duration without unit", `"1.5s"`, "15", "timeouts.queue-wait", "duration"},
		{"malformed duration", `"1.5s"`, `"soon"`, "timeouts.queue-wait", "duration"},
		{"negative duration", `"1.5s"`, `"-1s"`, "timeouts.queue-wait", "not between"},
		{"duration above the maximum", `"1.5s"`, `"9999h"`, "timeouts.queue-wait", "not between"},
		{"isolation below an exchange", `queue-wait = "1.5s"`, "isolation = \"2s\"\nexchange-interval = \"3s\"",
			"timeouts.isolation", "longer than exchange-interval"},
		{"wrong type", `"liberia"`, "4", "place", "string in quotes"},
		{"string for a count", "length = 3", `length = "3"`, "limits.queue-length", "an integer"},
		{"count", "length = 3", "length = 0", "limits.queue-length", "not between"},
		{"few descriptors", "[limits]", "[forward]\nmax-descriptors = 100\n[limits]", "forward.max-descriptors", "less than 256"},
		{"short digest", "digest = \"22", "digest = \"2", "operator-key-digest", "64 hex"},
		{"short cursor key", "[\"22", "[\"", "cursor-keys[0]", "32 bytes"},
		{"short peer key", "cursor-keys", "peer-keys = [\"22\"]\ncursor-keys", "peer-keys[0]", "32 bytes"},
		{"no cursor key", "cursor-keys = [\"", "cursor-keys = [] # [\"", "cursor-keys", "at least one"},
		{"log level", "place =", "log-level = \"loud\"\nplace =", "log-level", "loud"},
		{"syntax", "place =", "place", "", "line 1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(valid, test.old, test.new, 1)
			require.NotEqual(t, valid, text)
			_, err := loadText(t, text)
			var invalid InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Contains(t, err.Error(), test.reason)
			found := false
			for _, fault := range invalid.Faults {
				found = found || fault.Key == test.key && strings.Contains(fault.Reason, test.reason)
			}
			require.True(t, found, err.Error())
		})
	}
}

// Guards against an error that omits faults, so that operators cannot correct all faults of a file at once.
func TestLoadReportsAllFaultsAtOnce(t *testing.T) {
	_, err := loadText(t, "plaza = 1\nlisten = 5\nplatform = \"db:1\"\nlimits = 4\n[timeouts]\npeer = 1\ndrain = \"x\"\n")
	var invalid InvalidError
	require.ErrorAs(t, err, &invalid)
	var keys []string
	for _, fault := range invalid.Faults {
		keys = append(keys, fault.Key)
	}
	require.Equal(t, []string{
		"limits", "listen", "plaza", "timeouts.drain", "timeouts.peer", "place", "operator-listen", "peer-listen",
		"platform", "operator-key-digest", "cursor-keys",
	}, keys)
}

const forwardFile = `interface = "forward"
place = "liberia"
listen = "0.0.0.0:8080"
readiness-listen = "0.0.0.0:8083"
operator-listen = "127.0.0.1:8081"
peer-listen = "127.0.0.1:8082"
platform = "127.0.0.1:9000"
`

// Guards against roll-outs in a deployment whose file lacks the table, and against limits that allow what the platform does not.
func TestRolloutsAreOffWithoutTheirTable(t *testing.T) {
	s, err := loadText(t, forwardFile)
	require.NoError(t, err)
	require.False(t, s.Forward.Rollouts.Enabled())
	table := "[forward.rollouts]\nexposure-share = 0.1\nexposure-slack = 50\nrollback-bound = \"5000ms\"\n"
	s, err = loadText(t, forwardFile+table)
	require.NoError(t, err)
	require.True(t, s.Forward.Rollouts.Enabled())
	require.Equal(t, Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackBound: Duration{5 * time.Second}}, s.Forward.Rollouts)
	for old, changed := range map[string]string{
		"0.1": "-0.1", "= 0.1": "= 1.1", "share = 0.1": "share = nan", "50": "-1", "slack = 50": "slack = inf", "5000": "0",
		"rollback-bound": "roll-back",
	} {
		_, err = loadText(t, forwardFile+strings.Replace(table, old, changed, 1))
		var invalid InvalidError
		require.ErrorAs(t, err, &invalid, changed)
		require.Contains(t, invalid.Faults[0].Key, "forward.rollouts.", changed)
	}
}

func TestLoadReportsAMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	var invalid InvalidError
	require.ErrorAs(t, err, &invalid)
}
