package daemon

import (
	"context"
	"maps"
	"slices"

	"radishhollow/core/route"
)

// currentByAddress returns the registration in force of each address. The registration of a crashed endpoint exists for
// some seconds beside that of its successor at the same address, and another writer may register a service that the
// configuration does not have at the address of an endpoint.
func (l *endpointList) currentByAddress(includeMissing bool) []route.Listing {
	current := make(map[string]route.Listing, len(l.registrations))
	for key, registration := range l.registrations {
		if _, missing := l.missing[key]; missing && !includeMissing {
			continue
		}
		if other, taken := current[registration.Address]; !taken || l.replaces(registration, other) {
			current[registration.Address] = registration
		}
	}
	return slices.Collect(maps.Values(current))
}

// replaces reports whether a registration is in force in place of another one at the same address.
func (l *endpointList) replaces(registration, other route.Listing) bool {
	if known := l.hasService(registration); known != l.hasService(other) {
		return known
	}
	return isNewer(registration, other)
}

// hasService reports whether the configuration has the service of a registration.
func (l *endpointList) hasService(registration route.Listing) bool {
	_, found := l.configs.Current().Service(registration.Name)
	return found
}

// isNewer reports whether a registration is newer than another one at the same address. Revisions of different eras do
// not tell: a restored registration has one of the later era although it was written before the other. The times of the
// starts do, since both were taken from the clock of the machine at this address.
func isNewer(registration, other route.Listing) bool {
	sameEra := registration.Revision.SameEra(other.Revision)
	if sameEra || registration.StartedAtMS == other.StartedAtMS || registration.StartedAtMS == 0 || other.StartedAtMS == 0 {
		return registration.Revision.After(other.Revision)
	}
	return registration.StartedAtMS > other.StartedAtMS
}

// runConfigChanges applies the list again after each change of the configuration, which may name other services.
func (l *endpointList) runConfigChanges(ctx context.Context) {
	for {
		changed := l.configs.Changed()
		l.syncTable()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// updateTable copies the list to the routing table. The caller must hold mu.
func (l *endpointList) updateTable() {
	l.table.Sync(l.currentByAddress(true))
	if l.onSync != nil {
		l.onSync()
	}
}

func (l *endpointList) syncTable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced {
		l.updateTable()
	}
}
