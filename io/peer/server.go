package peer

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/twitchtv/twirp"

	"radishhollow/core/pack"
	"radishhollow/core/reach"
	"radishhollow/core/relay"
	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// maxRequestBytes is the maximum size of the body of a request from a peer.
const maxRequestBytes = 256 << 10

// Server handles the calls of peers. Its fields must be set before use. It is safe for concurrent use.
type Server struct {
	Node *Node
	// OnNewerRevision is called with the address of a peer that has a newer configuration.
	OnNewerRevision func(address string)
	// Serve answers a follower's request for changes of the key-value service. It may be nil.
	Serve func(ctx context.Context, request relay.Request) (relay.Response, error)
	// Delegated serves a request of a peer's caller. It may be nil.
	Delegated func(w http.ResponseWriter, r *http.Request, delegation *reach.Delegation)
}

// Handler returns the HTTP handler for the peer address.
func (s *Server) Handler() http.Handler {
	calls := http.MaxBytesHandler(signingHandler(rpc.NewPeerServer(s), &s.Node.Keys), maxRequestBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The target of a delegated request is the caller's, and may equal that of a call.
		if r.Header.Get(delegationHeader) != "" {
			s.serveDelegated(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// Exchange implements rpc.Peer. The view of an unsigned call is not merged, but the response still contains this
// daemon's view, because a daemon that starts while the key-value service is unavailable has no key yet and needs the
// view to catch up.
func (s *Server) Exchange(ctx context.Context, w *rpc.View) (*rpc.View, error) {
	if !isValidView(w) {
		return nil, twirp.InvalidArgumentError("view", "has a malformed address, a negative value, or is too large")
	}
	if !isSigned(ctx) {
		s.Node.Metrics.Count(telemetry.Exchanges, "unsigned")
		return toWire(s.Node.view()), nil
	}
	v := fromWire(w)
	s.Node.Table.MergeRequest(v)
	s.Node.mergeEvidence(v.Evidence)
	s.Node.mergeLimits(v.Limits)
	s.Node.mergeRollouts(v.Rollouts)
	s.Node.mergeObservations(v.Observations)
	s.Node.mergeHistories(v.Histories)
	s.Node.Isolation.RecordContact()
	if s.Node.observeRevisions(v) {
		s.OnNewerRevision(v.Address)
	}
	return toWire(s.Node.view()), nil
}

// Config implements rpc.Peer. It returns the document in force if its revision is the requested one or a later one,
// also to unsigned callers.
func (s *Server) Config(_ context.Context, request *rpc.ConfigRequest) (*rpc.ConfigDocument, error) {
	current := s.Node.Store.Current()
	if current.Revision() == 0 || current.Revision() < request.GetRevision() {
		return nil, twirp.NotFoundError("this daemon has no configuration of that revision or a later one")
	}
	fields, err := json.Marshal(current.Fields())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	document := &rpc.ConfigDocument{Revision: current.Revision(), Digest: current.Digest(), Fields: fields}
	if request.GetPacks() && len(fields) >= pack.MinBytes {
		// Fields that cannot be packed are sent as they are.
		if packed, err := pack.Encode(fields, nil); err == nil {
			document.Fields, document.PackedFields, document.FieldsSize = nil, packed, uint32(len(fields))
		}
	}
	return document, nil
}
