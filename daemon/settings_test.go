package daemon_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/io/settings"
)

// Guards against a validated setting that no part of the daemon reads.
func TestEverySettingIsRead(t *testing.T) {
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	var code strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		code.Write(data)
	}
	for _, group := range []struct {
		prefix string
		kind   reflect.Type
	}{
		{"Timeouts.", reflect.TypeFor[settings.Timeouts]()},
		{"Limits.", reflect.TypeFor[settings.Limits]()},
	} {
		for i := range group.kind.NumField() {
			require.Contains(t, code.String(), group.prefix+group.kind.Field(i).Name)
		}
	}
}
