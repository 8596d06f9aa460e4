package peer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"radishhollow/core/kv"
	"radishhollow/core/relay"
	"radishhollow/io/peer/rpc"
)

// compactedCode is the twirp error code for changes that the reader no longer has, busyCode that for an answer that its
// link would carry too late.
const (
	compactedCode = twirp.OutOfRange
	busyCode      = twirp.ResourceExhausted
)

// Changes implements rpc.Peer. Unlike Instances, it answers only signed calls, because the entries include the peer
// keys.
func (s *Server) Changes(ctx context.Context, r *rpc.ChangesRequest) (*rpc.ChangeList, error) {
	if !isSigned(ctx) {
		return nil, twirp.NewError(twirp.PermissionDenied, "the call is not signed")
	}
	if s.Serve == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this daemon passes on no changes")
	}
	response, err := s.Serve(ctx, relay.Request{
		Prefix: r.GetPrefix(), After: kv.NewRevision(r.GetAfterEra(), r.GetAfter()), Full: r.GetFull(), AfterKey: r.GetAfterKey(),
		Wait: fromMS(r.GetWaitMs()), Packs: r.GetPacks(),
	})
	if _, compacted := errors.AsType[kv.CompactedError](err); compacted {
		return nil, twirp.NewError(compactedCode, err.Error())
	}
	if busy, ok := errors.AsType[relay.BusyError](err); ok {
		return nil, twirp.NewError(busyCode, busy.Error())
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	list := &rpc.ChangeList{
		Era: response.Revision.Era(), Revision: response.Revision.Number(), Digest: response.Digest,
		AgeUs: uint64(response.Age.Microseconds()) + 1, HasMore: response.HasMore,
	}
	if response.FailureAge > 0 {
		list.FailureAgeUs = uint64(response.FailureAge.Microseconds()) + 1
	}
	for _, e := range response.Entries {
		list.Entries = append(list.Entries, &rpc.Entry{
			Key: e.Key(), Value: e.Value(), Revision: e.Revision().Number(), Deleted: e.Deleted(),
		})
	}
	for _, e := range response.Packed {
		list.Packed = append(list.Packed, &rpc.PackedEntry{
			Key: e.Key, Revision: e.Revision.Number(), Data: e.Data, Size: uint32(e.Size), Digest: e.Digest,
			Base: e.Base.Number(), BaseDigest: e.BaseDigest,
		})
	}
	return list, nil
}

// Changes asks the daemon at address for what it has read from the key-value service. It fails with kv.CompactedError
// if that daemon no longer has the changes.
func (x *Exchanger) Changes(ctx context.Context, address string, request relay.Request) (relay.Response, error) {
	list, err := x.client(address).Changes(ctx, &rpc.ChangesRequest{
		Prefix: request.Prefix, After: request.After.Number(), AfterEra: request.After.Era(), Full: request.Full,
		AfterKey: request.AfterKey, WaitMs: uint32(request.Wait.Milliseconds()), Packs: request.Packs,
	})
	if failed, ok := errors.AsType[twirp.Error](err); ok && failed.Code() == compactedCode {
		return relay.Response{}, errors.Trace(kv.CompactedError{After: request.After})
	}
	if failed, ok := errors.AsType[twirp.Error](err); ok && failed.Code() == busyCode {
		return relay.Response{}, errors.Trace(relay.BusyError{})
	}
	if err != nil {
		return relay.Response{}, errors.Trace(err)
	}
	x.Node.Isolation.RecordContact()
	response := relay.Response{
		Revision: kv.NewRevision(list.GetEra(), list.GetRevision()), Digest: list.GetDigest(), Age: fromMicroseconds(list.GetAgeUs()),
		FailureAge: fromMicroseconds(list.GetFailureAgeUs()), HasMore: list.GetHasMore(),
	}
	for _, e := range list.GetEntries() {
		revision := kv.NewRevision(list.GetEra(), e.GetRevision())
		response.Entries = append(response.Entries, kv.NewEntry(e.GetKey(), e.GetValue(), revision, e.GetDeleted()))
	}
	for _, e := range list.GetPacked() {
		response.Packed = append(response.Packed, relay.PackedEntry{
			Key: e.GetKey(), Revision: kv.NewRevision(list.GetEra(), e.GetRevision()), Data: e.GetData(), Size: int(e.GetSize()),
			Digest: e.GetDigest(), Base: kv.NewRevision(list.GetEra(), e.GetBase()), BaseDigest: e.GetBaseDigest(),
		})
	}
	return response, nil
}

// maxAge bounds received ages, so that none overflows a time.Duration. It is far above any age that is accepted.
const maxAge = time.Hour

func fromMicroseconds(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxAge.Microseconds()))) * time.Microsecond
}
