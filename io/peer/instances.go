package peer

import (
	"context"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"radishhollow/core/kv"
	"radishhollow/core/route"
	"radishhollow/io/peer/rpc"
)

// Instances implements rpc.Peer. It returns the last list that was read if its revision is r.After or a later one, also
// to unsigned callers.
func (s *Server) Instances(_ context.Context, r *rpc.InstancesRequest) (*rpc.InstanceList, error) {
	listings, revision, known := s.Node.Listings()
	if !known || revision.Before(kv.NewRevision(r.GetAfterEra(), r.GetAfter())) {
		return nil, twirp.NotFoundError("no instance list of this revision has been read yet")
	}
	list := &rpc.InstanceList{Era: revision.Era(), Revision: revision.Number()}
	for _, l := range listings {
		// A registration that is kept from an earlier era has no revision in this one.
		var since uint64
		if l.Revision.SameEra(revision) {
			since = l.Revision.Number()
		}
		list.Instances = append(list.Instances, &rpc.Instance{
			Address: l.Address, Incarnation: l.Incarnation, Place: l.Place, Kind: string(l.Kind), Name: l.Name,
			Leaving: l.Leaving, Slots: uint32(l.Slots), Born: l.StartedAtMS, Since: since,
			Version: l.Version,
		})
	}
	return list, nil
}

// Instances requests an instance list of minRevision or a later revision from up to Fanout random peers, one after
// another. It returns the first list received and its revision, and false if none of the peers has one.
func (x *Exchanger) Instances(ctx context.Context, minRevision kv.Revision) ([]route.Listing, kv.Revision, bool) {
	for _, address := range x.randomAddresses() {
		if list, revision, err := x.fetchInstances(ctx, address, minRevision); err == nil {
			return list, revision, true
		}
	}
	return nil, kv.Revision{}, false
}

func (x *Exchanger) fetchInstances(ctx context.Context, address string, minRevision kv.Revision) ([]route.Listing, kv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	// Despite its name, After is the lowest revision that the peer may send.
	response, err := x.client(address).Instances(ctx, &rpc.InstancesRequest{After: minRevision.Number(), AfterEra: minRevision.Era()})
	if err != nil {
		return nil, kv.Revision{}, errors.Trace(err)
	}
	revision := kv.NewRevision(response.GetEra(), response.GetRevision())
	if revision.Before(minRevision) {
		// A daemon of a build without eras compares the numbers alone.
		return nil, kv.Revision{}, errors.Trace(kv.OldRevisionError{Want: minRevision, Got: revision})
	}
	list := make([]route.Listing, 0, len(response.GetInstances()))
	for _, i := range response.GetInstances() {
		if !route.IsAddress(i.GetAddress()) || !withinStringLimit(i.GetIncarnation(), i.GetPlace(), i.GetKind(), i.GetName(), i.GetVersion()) {
			continue
		}
		list = append(list, route.Listing{
			Address: i.GetAddress(), Incarnation: i.GetIncarnation(), Place: i.GetPlace(),
			Kind: route.Kind(i.GetKind()), Name: i.GetName(), Leaving: i.GetLeaving(), Slots: int(i.GetSlots()),
			Version:     i.GetVersion(),
			StartedAtMS: i.GetBorn(), Revision: kv.NewRevision(response.GetEra(), i.GetSince()),
		})
	}
	return list, revision, nil
}
