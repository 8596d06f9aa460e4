package keyvalue

import (
	"context"
	"net/url"
	"strconv"

	"radishhollow/core/route"
)

// InstanceList is a copy of the platform's instance list. It requests only the changes since its last read, because the
// list of 12,000 endpoints has 1.8 MB, and accepts the whole list from a platform that does not send changes. It is not
// safe for concurrent use.
type InstanceList struct {
	Client *Client

	rows map[string]route.Listing
	// history and sequence identify the state of the platform's list at the last read.
	history  string
	sequence uint64
	hasRead  bool
}

// Read updates the list and reports whether it may have changed. If it fails, the list stays as it was.
func (l *InstanceList) Read(ctx context.Context) (changed bool, err error) {
	var query url.Values
	if l.hasRead && l.history != "" {
		query = url.Values{"history": {l.history}, "after": {strconv.FormatUint(l.sequence, 10)}}
	}
	body, err := l.Client.readInstances(ctx, query)
	if err != nil {
		return false, err
	}
	changed = len(body.Instances) > 0 || len(body.Removed) > 0
	if !body.ChangesOnly {
		l.rows, changed = make(map[string]route.Listing, len(body.Instances)), true
	}
	for _, address := range body.Removed {
		delete(l.rows, address)
	}
	for _, in := range body.Instances {
		l.rows[in.Address] = in.listing()
	}
	l.history, l.sequence, l.hasRead = body.History, body.Sequence, true
	return changed, nil
}

// Endpoints returns the endpoints as of the last read, without the rows of kind KindDaemon.
func (l *InstanceList) Endpoints() []route.Listing {
	list := make([]route.Listing, 0, len(l.rows))
	for _, row := range l.rows {
		if row.Kind != KindDaemon {
			list = append(list, row)
		}
	}
	return list
}
