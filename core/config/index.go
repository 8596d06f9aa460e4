package config

import (
	"cmp"
	"slices"
	"strings"

	"radishhollow/core/urgency"
)

// index is the lookup index for the routes and API keys of a document. A document may have hundreds of routes and keys,
// so a linear scan for each forwarded request would cost more than the rest of its handling.
type index struct {
	// hosts maps each host to its routes, sorted by descending length of the prefix.
	hosts map[string][]*Route
	// keys maps the digest of an API key to its workspace.
	keys map[string]*Workspace
	// urgencies maps the services to the orders of their streams.
	urgencies map[string]urgency.Order
}

func newIndex(f *Fields) *index {
	x := &index{hosts: map[string][]*Route{}, keys: map[string]*Workspace{}, urgencies: newUrgencies(f)}
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

func newUrgencies(f *Fields) map[string]urgency.Order {
	var workspaces []int
	for _, w := range f.Workspaces {
		workspaces = append(workspaces, w.Priority)
	}
	routes := map[string][]int{}
	for _, r := range f.Routes {
		for _, split := range r.Split {
			if r.Kind == KindStream {
				routes[split.Service] = append(routes[split.Service], r.Priority)
			}
		}
	}
	orders := map[string]urgency.Order{}
	for service, priorities := range routes {
		orders[service] = urgency.NewOrder(workspaces, priorities)
	}
	return orders
}

// Urgency returns the order of the streams of a service.
func (d Document) Urgency(service string) urgency.Order {
	if d.index == nil {
		return urgency.Order{}
	}
	return d.index.urgencies[service]
}

// Route returns the route of the host with the longest prefix of the path.
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

// WorkspaceByIndexedKey returns the workspace whose KeyDigests contain the digest of an API key. It is used by
// io/forward and does not consider KeyDigest; see WorkspaceByKey. The timing of the map lookup reveals nothing about
// valid keys, because an attacker cannot choose the digest of a key.
func (d Document) WorkspaceByIndexedKey(key string) (Workspace, bool) {
	if d.index == nil {
		return Workspace{}, false
	}
	w, ok := d.index.keys[KeyDigest(key)]
	if !ok {
		return Workspace{}, false
	}
	return *w, true
}

// Limits returns the limits for forwarded requests.
func (d Document) Limits() Limits { return d.fields.Limits }

// Routes returns all routes, which callers must not modify.
func (d Document) Routes() []Route { return d.fields.Routes }

// Services returns all services, which callers must not modify.
func (d Document) Services() []Service { return d.fields.Services }
