package peer

import (
	"context"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"radishhollow/core/route"
	"radishhollow/io/peer/rpc"
)

// Instances implements rpc.Peer.
func (s *Server) Instances(_ context.Context, r *rpc.InstancesRequest) (*rpc.InstanceList, error) {
	listings, revision, known := s.Node.Listings()
	if !known || revision < r.GetAfter() {
		return nil, twirp.NotFoundError("there was no such instance list yet")
	}
	list := &rpc.InstanceList{Revision: revision}
	for _, l := range listings {
		list.Instances = append(list.Instances, &rpc.Instance{
			Address: l.Address, Incarnation: l.Incarnation, Place: l.Place, Kind: string(l.Kind), Name: l.Name,
			Leaving: l.Leaving, Slots: uint32(l.Slots), Born: l.StartedAtMS, Since: l.Revision,
		})
	}
	return list, nil
}

// Instances asks a few random peers for an instance list of the given revision or a later one, and returns false where
// none has one.
func (x *Exchanger) Instances(ctx context.Context, after uint64) ([]route.Listing, uint64, bool) {
	for _, address := range x.targets() {
		if list, revision, err := x.instancesOf(ctx, address, after); err == nil {
			return list, revision, true
		}
	}
	return nil, 0, false
}

func (x *Exchanger) instancesOf(ctx context.Context, address string, after uint64) ([]route.Listing, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	answer, err := x.client(address).Instances(ctx, &rpc.InstancesRequest{After: after})
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	list := make([]route.Listing, 0, len(answer.GetInstances()))
	for _, i := range answer.GetInstances() {
		if !route.IsAddress(i.GetAddress()) || !short(i.GetIncarnation(), i.GetPlace(), i.GetKind(), i.GetName()) {
			continue
		}
		list = append(list, route.Listing{
			Address: i.GetAddress(), Incarnation: i.GetIncarnation(), Place: i.GetPlace(),
			Kind: route.Kind(i.GetKind()), Name: i.GetName(), Leaving: i.GetLeaving(), Slots: int(i.GetSlots()),
			StartedAtMS: i.GetBorn(), Revision: i.GetSince(),
		})
	}
	return list, answer.GetRevision(), nil
}
