// Package caller serves the callers' API: completions, chat completions, models and health.
package caller

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"radishhollow/core/config"
	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/engine"
	"radishhollow/io/telemetry"
)

// Default limits of Server and ServiceHandler, in bytes.
const (
	DefaultMaxBody        = 4 << 20
	DefaultMaxHeader      = 64 << 10
	DefaultMaxServiceBody = 1 << 20
)

// Limits and defaults of Server.
const (
	bodyTimeout    = 30 * time.Second
	headerTimeout  = 10 * time.Second
	writeTimeout   = 30 * time.Second
	defaultTokens  = 4096
	defaultMaxAsk  = 1 << 20
	cursorLife     = 24 * time.Hour
	wholeReturn    = time.Millisecond
	resumePriority = 1000
)

// Server is the HTTP server for callers. Document, Admit, Pick, Open, Attach, Cancel, Tokenize, Known, Metrics and
// CursorKeys are required.
type Server struct {
	Document func() config.Document
	// Admit waits for the workspace's turn; cost is an estimate in tokens. Its release takes the tokens used. A resumed
	// request was admitted before.
	Admit    func(ctx context.Context, workspace config.Workspace, cost int, resume bool) (release func(used int), err error)
	Pick     func(ctx context.Context, need route.Criteria) (route.Choice, error)
	Open     func(ctx context.Context, address string, start generation.Start) (generation.Stream, error)
	Attach   func(ctx context.Context, address, id string, attempt, offset int) (generation.Stream, error)
	Cancel   func(address, id string, attempt int, after time.Duration)
	Tokenize func(ctx context.Context, address string, text engine.Text) ([]uint32, error)
	// HasIncarnation tells whether the instance list has the endpoint of a cursor.
	HasIncarnation func(address, incarnation string) bool
	// Alive tells from load reports whether an endpoint runs, and by which factor it is slower than usual.
	Alive func(address string) (alive bool, slow float64)
	// Stalled tells that an endpoint has stopped answering; it may be nil.
	Stalled func(address string) bool
	// ObserveAttempt is told how each attempt on an endpoint went; it may be nil.
	ObserveAttempt func(choice route.Choice, err error)
	// ObserveSilence is told of each stream that was taken from a silent endpoint; it may be nil.
	ObserveSilence func(address, incarnation string)
	// MayRetry takes one attempt from the workspace's retry budget.
	MayRetry func(workspace string) bool
	// Queued and FirstBound are those of generation.Driver; Queued may be nil.
	Queued     func(address string) bool
	QueueWaitBound time.Duration
	// ExemptResumes is that of generation.Driver.
	ExemptResumes int
	// Ready tells whether this instance takes new work.
	Ready func() bool
	// Stopping tells that connections are being closed by this instance rather than by callers.
	Stopping func() bool
	// Services handles the calls of plain services. It runs behind authentication.
	Services gin.HandlerFunc

	Metrics    *telemetry.Metrics
	CursorKeys [][]byte
	CursorTTL time.Duration
	// CallerReturn is the time that a disconnected caller of a stream has to come back with its cursor.
	CallerReturn time.Duration
	// Timeouts replaces the deadlines of the sheet's resume-preference unless it is zero.
	Timeouts generation.Timeouts
	// MaxBodyBytes and MaxHeader bound a request's body and headers in bytes. Zero means the default.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// DefaultMaxTokens is used where a request names no limit.
	DefaultMaxTokens int
}

// NewHTTPServer returns an http.Server with the limits of this package. The caller of HTTP sets its listener and stops it.
func (s *Server) NewHTTPServer() *http.Server {
	return &http.Server{Handler: s.Handler(), MaxHeaderBytes: cmp.Or(s.MaxHeaderBytes, DefaultMaxHeader), ReadHeaderTimeout: headerTimeout}
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, value any) {
		if c.Writer.Written() {
			// Client libraries take a stream that ends normally without an end mark for a finished one.
			panic(http.ErrAbortHandler)
		}
		WriteError(c, PanicError{Value: value})
	}))
	router.NoRoute(func(c *gin.Context) { WriteError(c, NotFoundError{Path: c.Request.URL.Path}) })
	router.GET("/livez", func(c *gin.Context) { c.Status(http.StatusOK) })
	router.GET("/readyz", s.ready)
	known := router.Group("/", s.authenticate)
	known.GET("/v1/models", s.models)
	known.POST("/v1/completions", func(c *gin.Context) { s.generate(c, false) })
	known.POST("/v1/chat/completions", func(c *gin.Context) { s.generate(c, true) })
	if s.Services != nil {
		known.Any("/services/:service/*path", s.Services)
	}
	return router
}

func (s *Server) ready(c *gin.Context) {
	if s.Ready != nil && !s.Ready() {
		WriteError(c, NotReadyError{})
		return
	}
	c.Status(http.StatusOK)
}

func (s *Server) models(c *gin.Context) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	add := func(id string) { list = append(list, model{ID: id, Object: "model", OwnedBy: "radishhollow"}) }
	for _, m := range s.Document().Models() {
		add(m.Name)
		for _, a := range m.Adapters {
			add(m.Name + ":" + a.Name)
		}
	}
	c.JSON(http.StatusOK, gin.H{"object": "list", "data": list})
}
