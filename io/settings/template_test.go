package settings

import (
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// platformValues are values with which the platform fills in the template.
var platformValues = map[string]string{
	"zone": "a", "listen.frontend": "127.0.0.1:1", "listen.readiness": "127.0.0.1:2", "ip": "127.0.0.1", "port_range.0": "3",
	"port_range.1": "4", "platform.address": "127.0.0.1:5", "bounds.grace_s": "8", "bounds.retry_budget_ratio": "0.1",
	"bounds.budget_slack": "20", "bounds.retry_window_s": "10", "bounds.drain_ms": "2000", "bounds.config_apply_ms": "2000",
	"limits.memory_mb": "88", "limits.max_fds": "4100",
}

// fillIn renders the template of the settings file as the platform does: a section is kept where its value is there.
func fillIn(t *testing.T, values map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/entry.toml")
	require.NoError(t, err)
	sections := regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	text := sections.ReplaceAllStringFunc(string(template), func(section string) string {
		parts := sections.FindStringSubmatch(section)
		require.Equal(t, parts[1], parts[3])
		if _, given := values[parts[1]]; !given {
			return ""
		}
		return parts[2]
	})
	return regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`).ReplaceAllStringFunc(text, func(placeholder string) string {
		value, given := values[placeholder[2:len(placeholder)-2]]
		require.True(t, given, placeholder)
		return value
	})
}

// Guards against a template that a daemon refuses, with roll-outs or without, or that turns them on where the platform has no
// values for them.
func TestDeployTemplate(t *testing.T) {
	s, err := loadText(t, fillIn(t, platformValues))
	require.NoError(t, err)
	require.False(t, s.Forward.Rollouts.Enabled())
	require.Equal(t, 4100, s.Forward.MaxDescriptors)
	values := map[string]string{"bounds.exposure_share": "0.1", "bounds.exposure_slack": "50", "bounds.rollback_ms": "5000"}
	for name, value := range platformValues {
		values[name] = value
	}
	s, err = loadText(t, fillIn(t, values))
	require.NoError(t, err)
	require.Equal(t, Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackBound: Duration{5 * time.Second}}, s.Forward.Rollouts)
}
