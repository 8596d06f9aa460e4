// Package caller implements the HTTP API for callers: completions, chat completions, plain services, models and health.
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
	DefaultMaxBodyBytes        = 4 << 20
	DefaultMaxHeaderBytes      = 64 << 10
	DefaultMaxServiceBodyBytes = 1 << 20
)

// Limits and defaults of Server.
const (
	// bodyTimeout bounds the time to read the body of a generation request; that of a call to a plain service has no time
	// limit. headerTimeout bounds the time to read the header of any request.
	bodyTimeout   = 30 * time.Second
	headerTimeout = 10 * time.Second
	// writeTimeout bounds the time to write one event to a caller.
	writeTimeout     = 30 * time.Second
	defaultMaxTokens = 4096
	// maxTokensLimit is the largest accepted max_tokens.
	maxTokensLimit   = 1 << 20
	defaultCursorTTL = 24 * time.Hour
	// bufferedReconnectGrace is Driver.ReconnectGrace for a response without a cursor. Zero would mean the default.
	bufferedReconnectGrace = time.Millisecond
	// resumePriorityBoost is subtracted from the workspace's priority after a loss. Engines serve lower numbers sooner.
	// The result is below the range of the configured priorities, 0 to 100.
	resumePriorityBoost = 1000
)

// Server is the HTTP server for callers. Document, Admit, Pick, Open, Attach, Cancel, Tokenize, HasIncarnation, Metrics
// and CursorKeys are required. The fields must be set before the first request that uses them.
type Server struct {
	// Document returns the current configuration.
	Document func() config.Document
	// Admit waits until the workspace may send the request, whose cost is an estimate in tokens. The returned release,
	// if not nil, must be called with the number of tokens used. The argument resume is true if the request continues
	// one that was admitted before.
	Admit func(
		ctx context.Context, workspace config.Workspace, cost int, resume bool,
	) (release func(usedTokens int), err error)
	// Pick, Open, Attach and Cancel are those of generation.Driver.
	Pick   func(ctx context.Context, criteria route.Criteria) (route.Choice, error)
	Open   func(ctx context.Context, address string, start generation.Start) (generation.Stream, error)
	Attach func(ctx context.Context, address, id string, attempt, offset int) (generation.Stream, error)
	Cancel func(address, id string, attempt int, after time.Duration)
	// Tokenize returns the token ids of a text, as encoded by an engine.
	Tokenize func(ctx context.Context, address string, text engine.TokenizeInput) ([]uint32, error)
	// HasIncarnation reports whether the endpoint of a cursor is in the instance list with this incarnation.
	HasIncarnation func(address, incarnation string) bool
	// Health returns whether an endpoint runs, according to its load reports, and the factor by which it is slower than
	// usual. It may be nil.
	Health func(address string) (alive bool, slowdown float64)
	// Stalled reports whether an endpoint has stopped responding; it may be nil.
	Stalled func(address string) bool
	// ObserveAttempt receives the result of each attempt on an endpoint; it may be nil.
	ObserveAttempt func(choice route.Choice, err error)
	// ObserveSilence is called for each stream that is given up because its endpoint is silent; it may be nil.
	ObserveSilence func(address, incarnation string)
	// TakeRetry takes one retry from the workspace's retry budget. If it is nil, retries are not limited.
	TakeRetry func(workspace string) bool
	// ReturnRetry returns a retry that was taken for an attempt which is not made. It must be set if TakeRetry is.
	ReturnRetry func(workspace string)
	// Queued, QueueWaitBound and ExemptResumes are those of generation.Driver; Queued may be nil.
	Queued         func(address string) bool
	QueueWaitBound time.Duration
	ExemptResumes  int
	// Ready reports whether this instance accepts new requests. If it is nil, the instance is always ready.
	Ready func() bool
	// Closing reports whether this instance, rather than the callers, is closing the connections; it may be nil.
	Closing func() bool
	// Ending ends in a planned stop, shortly before the connections in use are closed. Requests without a response then get a
	// final one. It may be nil.
	Ending context.Context
	// Services handles authenticated calls to plain services; it may be nil.
	Services gin.HandlerFunc

	Metrics *telemetry.Metrics
	// CursorKeys are those of generation.CursorCodec.
	CursorKeys [][]byte
	// CursorTTL is the time for which a cursor is valid. Zero means 24 hours.
	CursorTTL time.Duration
	// ReconnectGrace is the time that a disconnected caller of a stream has to reconnect with its cursor. Zero means
	// generation.DefaultReconnectGrace.
	ReconnectGrace time.Duration
	// Timeouts overrides the timeouts that the sheet's resume-preference selects, unless it is zero.
	Timeouts generation.Timeouts
	// MaxBodyBytes and MaxHeaderBytes bound a request's body and header. Zero means the default.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// DefaultMaxTokens applies to requests without max_tokens. Zero means 4096.
	DefaultMaxTokens int
}

// NewHTTPServer returns an http.Server with the limits of this package. It has no listener and is not started.
func (s *Server) NewHTTPServer() *http.Server {
	return &http.Server{
		Handler: s.Handler(), MaxHeaderBytes: cmp.Or(s.MaxHeaderBytes, DefaultMaxHeaderBytes),
		ReadHeaderTimeout: headerTimeout,
	}
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, value any) {
		if c.Writer.Written() {
			// Abort the connection: client libraries treat a stream that ends normally without an end marker as complete.
			panic(http.ErrAbortHandler)
		}
		WriteError(c, PanicError{Value: value})
	}))
	router.NoRoute(func(c *gin.Context) { WriteError(c, NotFoundError{Path: c.Request.URL.Path}) })
	router.GET("/livez", func(c *gin.Context) { c.Status(http.StatusOK) })
	router.GET("/readyz", s.handleReady)
	authenticated := router.Group("/", s.authenticate)
	authenticated.GET("/v1/models", s.handleModels)
	authenticated.POST("/v1/completions", func(c *gin.Context) { s.handleGeneration(c, false) })
	authenticated.POST("/v1/chat/completions", func(c *gin.Context) { s.handleGeneration(c, true) })
	if s.Services != nil {
		authenticated.Any("/services/:service/*path", s.Services)
	}
	return router
}

func (s *Server) handleReady(c *gin.Context) {
	if s.Ready != nil && !s.Ready() {
		WriteError(c, NotReadyError{})
		return
	}
	c.Status(http.StatusOK)
}

func (s *Server) handleModels(c *gin.Context) {
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
