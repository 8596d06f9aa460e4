package peer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// instanceListBytes returns an encoded list whose first instances take maxResponseBytes.
func instanceListBytes(t *testing.T, instances int) []byte {
	t.Helper()
	// The tags and lengths of an instance and of its place take 4 bytes.
	const instanceBytes = 64
	require.Zero(t, maxResponseBytes%instanceBytes)
	list := &rpc.InstanceList{Revision: 7}
	for range instances {
		list.Instances = append(list.Instances, &rpc.Instance{Place: strings.Repeat("x", instanceBytes-4)})
	}
	data, err := proto.Marshal(list)
	require.NoError(t, err)
	return data
}

// Guards against a list above the size limit that is cut between two instances and passes for a whole one.
func TestLargeResponsesAreNotCut(t *testing.T) {
	whole := instanceListBytes(t, maxResponseBytes/64)
	require.Len(t, whole, maxResponseBytes+2, "the list must be cut before its revision")
	body := whole
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(body)
	}))
	defer server.Close()
	client := NewHTTPClient(telemetry.New())
	defer client.CloseIdleConnections()
	call := func() (*rpc.InstanceList, error) {
		return rpc.NewPeerProtobufClient(server.URL, client).Instances(t.Context(), &rpc.InstancesRequest{})
	}
	list, err := call()
	require.Error(t, err, "%d instances, revision %d", len(list.GetInstances()), list.GetRevision())
	require.ErrorContains(t, err, "larger than")

	body = whole[:maxResponseBytes]
	list, err = call()
	require.NoError(t, err, "a response of the maximum size")
	require.Len(t, list.GetInstances(), maxResponseBytes/64)
}
