package forward

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/io/telemetry"
)

// Guards against a panic that completes a response which has begun, that leaves the caller without a status before, or
// that no log line shows with the request's id.
func TestPanicEndsTheRequest(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	for name, began := range map[string]bool{"before the header": false, "after the header": true} {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			log := logrus.New()
			log.SetOutput(&output)
			s := &Server{
				Format: testFormat(), Metrics: telemetry.New(), Log: log,
				Document: func() config.Document { panic("test") },
			}
			router := gin.New()
			router.NoRoute(func(c *gin.Context) {
				if began {
					_, _ = io.WriteString(c.Writer, "begun")
					c.Writer.Flush()
				}
				s.handle(c)
			})
			server := httptest.NewServer(router)
			defer server.Close()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			require.NoError(t, err)
			r.Header.Set(s.Format.RequestID, "id-of-the-request")
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			server.Close()
			if began {
				require.Error(t, err, "the response looks complete")
				require.EqualValues(t, 1, s.Metrics.Value(telemetry.CutResponses, "internal"))
			} else {
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, response.StatusCode)
			}
			require.Contains(t, output.String(), "id-of-the-request")
		})
	}
}
