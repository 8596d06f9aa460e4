package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
)

func split(name string) []config.Split { return []config.Split{{Service: name, Weight: 1}} }

// Guards against a request that takes a shorter route than the one that is meant for it, or that of another host.
func TestRouteTakesTheLongestPrefix(t *testing.T) {
	d := config.NewDocument(1, config.Fields{Routes: []config.Route{
		{Name: "short", Host: "a", Prefix: "/x/", Split: split("s")},
		{Name: "long", Host: "a", Prefix: "/x/y/", Split: split("s")},
		{Name: "other", Host: "b", Prefix: "/x/y/z/", Split: split("s")},
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

// Guards against a key that stays valid after its workspace has lost it, and against an empty key.
func TestKeyHolder(t *testing.T) {
	d := config.NewDocument(1, config.Fields{Workspaces: []config.Workspace{
		{Name: "w", KeyDigests: []string{config.KeyDigest("k1"), config.KeyDigest("k2")}}, {Name: "none"},
	}})
	w, ok := d.KeyHolder("k2")
	require.True(t, ok)
	require.Equal(t, "w", w.Name)
	for _, key := range []string{"", "k3", "K1"} {
		_, ok = d.KeyHolder(key)
		require.False(t, ok)
	}
}

// Guards against a split that sends work to a service of weight 0, or none to one that has some.
func TestSplit(t *testing.T) {
	r := config.Route{Split: []config.Split{{Service: "a", Weight: 90}, {Service: "zero"}, {Service: "b", Weight: 10}}}
	require.Equal(t, "a", r.Service(0))
	require.Equal(t, "a", r.Service(0.899))
	require.Equal(t, "b", r.Service(0.901))
	require.Equal(t, "b", r.Service(1))
}

// Guards against a digest that older daemons would compute differently for a sheet without routes.
func TestRoutesLeaveTheDigestOfSheets(t *testing.T) {
	plain := config.NewDocument(1, config.Fields{SheetNumber: 1})
	restored, err := config.Restore(1, plain.Digest(), []byte(
		`{"sheet-number":1,"places":null,"services":null,"models":null,"workspaces":null,`+
			`"settings":{"resume-preference":"","weight-loads-per-minute":0,"max-wait-ms":0}}`))
	require.NoError(t, err)
	require.Equal(t, plain.Digest(), restored.Digest())
}
