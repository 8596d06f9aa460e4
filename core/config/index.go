package config

import (
	"cmp"
	"slices"
	"strings"
)

// index finds the routes and workspaces of a document. A forwarded request may meet hundreds of routes and keys, so
// that a scan for each would cost more than the rest of its handling.
type index struct {
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
	// keys maps the digest of an API key to its workspace.
	keys map[string]*Workspace
}

func newIndex(f *Fields) *index {
	x := &index{hosts: map[string][]*Route{}, keys: map[string]*Workspace{}}
	for i := range f.Routes {
		r := &f.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range f.Workspaces {
		w := &f.Workspaces[i]
		for _, digest := range w.KeyDigests {
			x.keys[digest] = w
		}
	}
	return x
}

// Route returns the route of the host whose prefix is the longest that begins the path.
func (d Document) Route(host, path string) (Route, bool) {
	if d.index == nil {
		return Route{}, false
	}
	for _, r := range d.index.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return *r, true
		}
	}
	return Route{}, false
}

// KeyHolder returns the workspace that holds an API key among its KeyDigests. The lookup by digest tells an attacker
// nothing about the key, because a digest cannot be steered towards another one.
func (d Document) KeyHolder(key string) (Workspace, bool) {
	if d.index == nil {
		return Workspace{}, false
	}
	w, ok := d.index.keys[KeyDigest(key)]
	if !ok {
		return Workspace{}, false
	}
	return *w, true
}

// Limits returns the bounds on what callers of the forwarded interface may send.
func (d Document) Limits() Limits { return d.fields.Limits }

// Routes returns all routes, which callers must not change.
func (d Document) Routes() []Route { return d.fields.Routes }

// Services returns all services, which callers must not change.
func (d Document) Services() []Service { return d.fields.Services }
