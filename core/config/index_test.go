package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
)

func splitTo(name string) []config.Split { return []config.Split{{Service: name, Weight: 1}} }

// Guards against a request that matches a route with a shorter prefix than the best one, or a route of another host.
func TestRouteMatchesTheLongestPrefix(t *testing.T) {
	d := config.NewDocument(1, config.Fields{Routes: []config.Route{
		{Name: "short", Host: "a", Prefix: "/x/", Split: splitTo("s")},
		{Name: "long", Host: "a", Prefix: "/x/y/", Split: splitTo("s")},
		{Name: "other", Host: "b", Prefix: "/x/y/z/", Split: splitTo("s")},
	}})
	for _, tt := range []struct{ host, path, want string }{
		{"a", "/x/1", "short"}, {"a", "/x/y/1", "long"}, {"a", "/x/y/z/1", "long"}, {"a", "/x/y", "short"},
		{"b", "/x/y/z/", "other"}, {"a", "/xy", ""}, {"a", "/x", ""}, {"c", "/x/1", ""}, {"b", "/x/1", ""},
	} {
		r, ok := d.Route(tt.host, tt.path)
		require.Equal(t, tt.want != "", ok, tt)
		require.Equal(t, tt.want, r.Name)
	}
	_, ok := config.Document{}.Route("a", "/x/1")
	require.False(t, ok)
}

// Guards against acceptance of a key that was removed from its workspace, and of an empty key.
func TestWorkspaceByIndexedKey(t *testing.T) {
	d := config.NewDocument(1, config.Fields{Workspaces: []config.Workspace{
		{Name: "w", KeyDigests: []string{config.KeyDigest("k1"), config.KeyDigest("k2")}}, {Name: "none"},
	}})
	w, ok := d.WorkspaceByIndexedKey("k2")
	require.True(t, ok)
	require.Equal(t, "w", w.Name)
	for _, key := range []string{"", "k3", "K1"} {
		_, ok = d.WorkspaceByIndexedKey(key)
		require.False(t, ok)
	}
}

// Guards against a split that selects a service of weight 0, or never selects one with a positive weight.
func TestSplit(t *testing.T) {
	r := config.Route{Split: []config.Split{{Service: "a", Weight: 90}, {Service: "zero"}, {Service: "b", Weight: 10}}}
	require.Equal(t, "a", r.Service(0))
	require.Equal(t, "a", r.Service(0.899))
	require.Equal(t, "b", r.Service(0.901))
	require.Equal(t, "b", r.Service(1))
}

// Guards against a change of the digest of documents without routes: daemons that do not know routes must compute the
// same digest.
func TestDigestOfSheetWithoutRoutes(t *testing.T) {
	plain := config.NewDocument(1, config.Fields{SheetNumber: 1})
	decoded, err := config.DecodeFields(1, plain.Digest(), []byte(
		`{"sheet-number":1,"places":null,"services":null,"models":null,"workspaces":null,`+
			`"settings":{"resume-preference":"","weight-loads-per-minute":0,"max-wait-ms":0}}`))
	require.NoError(t, err)
	require.Equal(t, plain.Digest(), decoded.Digest())
}
