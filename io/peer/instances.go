package peer

import (
	"context"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"radishhollow/core/route"
	"radishhollow/io/peer/rpc"
)

// Instances implements rpc.Peer.
func (s *Server) Instances(context.Context, *rpc.InstancesRequest) (*rpc.InstanceList, error) {
	listings, known := s.Node.Listings()
	if !known {
		return nil, twirp.NotFoundError("there was no instance list yet")
	}
	list := &rpc.InstanceList{}
	for _, l := range listings {
		list.Instances = append(list.Instances, &rpc.Instance{
			Address: l.Address, Incarnation: l.Incarnation, Place: l.Place, Kind: string(l.Kind), Name: l.Name,
			Leaving: l.Leaving,
		})
	}
	return list, nil
}

// Instances asks a few random peers for the instance list, and returns false where none has one.
func (x *Exchanger) Instances(ctx context.Context) ([]route.Listing, bool) {
	for _, address := range x.targets() {
		if list, err := x.instancesOf(ctx, address); err == nil {
			return list, true
		}
	}
	return nil, false
}

func (x *Exchanger) instancesOf(ctx context.Context, address string) ([]route.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	answer, err := x.client(address).Instances(ctx, &rpc.InstancesRequest{})
	if err != nil {
		return nil, errors.Trace(err)
	}
	list := make([]route.Listing, 0, len(answer.GetInstances()))
	for _, i := range answer.GetInstances() {
		if !isAddress(i.GetAddress()) || !short(i.GetIncarnation(), i.GetPlace(), i.GetKind(), i.GetName()) {
			continue
		}
		list = append(list, route.Listing{
			Address: i.GetAddress(), Incarnation: i.GetIncarnation(), Place: i.GetPlace(),
			Kind: route.Kind(i.GetKind()), Name: i.GetName(), Leaving: i.GetLeaving(),
		})
	}
	return list, nil
}
