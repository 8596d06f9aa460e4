package cmd

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against timestamps in whole seconds, which do not show the order of log lines or the time between them.
func TestLogTime(t *testing.T) {
	var out bytes.Buffer
	newLog("info", &out).Info("x")
	var line struct{ Time string }
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	_, err := time.Parse(logTimeFormat, line.Time)
	require.NoError(t, err, line.Time)
}
