package peer

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/twitchtv/twirp"

	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// maxRequestBytes bounds the body of a request from a peer.
const maxRequestBytes = 256 << 10

// Server answers peers. Fields are set before use.
type Server struct {
	Node *Node
	// OnNewerRevision is called with the address of a peer that has a newer configuration.
	OnNewerRevision func(address string)
}

// Handler returns the HTTP handler of the peer address.
func (s *Server) Handler() http.Handler {
	return http.MaxBytesHandler(signedHandler(rpc.NewPeerServer(s), &s.Node.Keys), maxRequestBytes)
}

// Exchange implements rpc.Peer. Who is no peer gets the view as well: a daemon that starts while the store is away has no
// key yet and catches up by it.
func (s *Server) Exchange(ctx context.Context, w *rpc.View) (*rpc.View, error) {
	if !valid(w) {
		return nil, twirp.InvalidArgumentError("view", "has a malformed address or is too large")
	}
	if !isSigned(ctx) {
		s.Node.Metrics.Count(telemetry.Exchanges, "unsigned")
		return toWire(s.Node.view()), nil
	}
	v := fromWire(w)
	s.Node.Table.MergeRequest(v)
	s.Node.Isolation.RecordContact()
	if s.Node.behind(v) {
		s.OnNewerRevision(v.Address)
	}
	return toWire(s.Node.view()), nil
}

// Config implements rpc.Peer.
func (s *Server) Config(_ context.Context, request *rpc.ConfigRequest) (*rpc.ConfigDocument, error) {
	current := s.Node.Store.Current()
	if current.Revision() == 0 || current.Revision() < request.GetRevision() {
		return nil, twirp.NotFoundError("the revision is not in force here")
	}
	fields, err := json.Marshal(current.Fields())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.ConfigDocument{Revision: current.Revision(), Digest: current.Digest(), Fields: fields}, nil
}
