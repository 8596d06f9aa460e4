package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
	"radishhollow/io/service"
	"radishhollow/platform"
)

// serveCopies answers each copy with a handle that names the run, and once more where the answer to the next call on the
// connection is due.
func serveCopies(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, late := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		run := strings.Split(string(body), `"`)[3]
		answer := fmt.Sprintf(`{"handle":"of-%s","create_revision":1}`, run)
		answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		if late == "" {
			late = answer
			_, _ = io.WriteString(conn, answer)
			continue
		}
		_, _ = io.WriteString(conn, late)
		late = answer
	}
}

// Guards against a run that goes on from the KV cache of another run, because a late answer to an earlier copy was taken for
// that to its own.
func TestKVCopiersOfRunsAreApart(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveCopies(conn)
		}
	}()
	client := service.New(time.Second, time.Minute)
	client.Check = platform.Format().Check
	newCopier := newKVCopiers(client, newTestAnnouncements(route.New("d", route.DefaultPolicy())), logrus.New())
	for _, run := range []string{"a", "b", "c"} {
		copier := newCopier()
		for range 3 {
			handle, err := copier.Copy(t.Context(), listener.Addr().String(), run, "10.0.0.1:1")
			require.NoError(t, err)
			require.Equal(t, "of-"+run, handle)
		}
		copier.Close()
	}
}
