package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"radishhollow/core/config"
	"radishhollow/io/peer"
)

// applyTimeout limits the duration of an apply, including all repetitions of the compare-and-swap until its outcome is
// known. It is shorter than clientTimeout.
const applyTimeout = 15 * time.Second

// Server handles the calls of operators. Its fields must be set before use. It is safe for concurrent use.
type Server struct {
	// KeyDigest is the SHA-256 digest of the operator key in hex.
	KeyDigest string
	Node      *peer.Node
	Writer    *config.Writer
}

// Handler returns the HTTP handler for the operator address. Metrics and the liveness check require no key, because
// their clients have none. Callers cannot reach the address.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.Recovery())
	router.GET("/livez", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/metrics", s.metrics)
	group := router.Group("/operator", s.authenticate)
	group.POST("/check", s.check)
	group.POST("/plan", s.plan)
	group.POST("/apply", s.apply)
	group.GET("/status", s.status)
	return router
}

// authenticate rejects calls without the operator key. It compares digests in constant time, so that the duration
// reveals neither the length nor the content of the key.
func (s *Server) authenticate(c *gin.Context) {
	key, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	want := []byte(strings.ToLower(s.KeyDigest))
	if !found || subtle.ConstantTimeCompare([]byte(config.KeyDigest(key)), want) != 1 {
		respondError(c, KeyError{})
		return
	}
	c.Next()
}

func (s *Server) metrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; version=0.0.4")
	s.Node.Metrics.WritePrometheus(c.Writer)
}

// check responds with the plan of a valid sheet, even if its number is not higher than that of the sheet in force.
// Client has no method for this path; the command `sheet check` validates a sheet without a daemon.
func (s *Server) check(c *gin.Context) {
	fields, faults := config.Parse(c.Request.Body)
	if len(faults) > 0 {
		respondError(c, faults)
		return
	}
	c.JSON(http.StatusOK, s.newPlan(fields))
}

func (s *Server) plan(c *gin.Context) {
	fields, faults := config.Parse(c.Request.Body)
	if len(faults) > 0 {
		respondError(c, faults)
		return
	}
	plan := s.newPlan(fields)
	if inForce := s.Node.Store.Current(); inForce.Digest() != plan.Digest && inForce.SheetNumber() >= plan.SheetNumber {
		respondError(c, config.StaleSheetError{
			SheetNumber: plan.SheetNumber, InForce: inForce.SheetNumber(), Revision: inForce.Revision(),
		})
		return
	}
	c.JSON(http.StatusOK, plan)
}

func (s *Server) newPlan(fields config.Fields) Plan {
	current := s.Node.Store.Current()
	next := config.NewDocument(current.Revision()+1, fields)
	return Plan{
		Base: current.Revision(), SheetNumber: fields.SheetNumber, Digest: next.Digest(),
		Changes: config.Diff(current.Fields(), fields),
	}
}

// apply responds after the write is accepted. Other daemons receive the revision by watch, poll or exchange.
func (s *Server) apply(c *gin.Context) {
	base, err := parseBase(c)
	if err != nil {
		respondError(c, err)
		return
	}
	fields, faults := config.Parse(c.Request.Body)
	if len(faults) > 0 {
		respondError(c, faults)
		return
	}
	// The write continues if the operator closes the connection, so that its outcome is determined.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request.Context()), applyTimeout)
	defer cancel()
	applied, err := s.Writer.Apply(ctx, fields, base)
	if err != nil {
		respondError(c, err)
		return
	}
	document := applied.Document()
	if _, err := s.Node.Store.Offer(document); err != nil {
		respondError(c, err)
		return
	}
	c.JSON(http.StatusOK, Applied{
		Revision: document.Revision(), Digest: document.Digest(), AlreadyInForce: applied.AlreadyInForce(),
	})
}

// parseBase returns the base in the query, or nil if there is none.
func parseBase(c *gin.Context) (*uint64, error) {
	text, found := c.GetQuery("base")
	if !found {
		return nil, nil
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, BaseError{Value: text}
	}
	return &base, nil
}

func (s *Server) status(c *gin.Context) {
	current := s.Node.Store.Current()
	status := Status{
		Revision: current.Revision(), SheetNumber: current.SheetNumber(), Digest: current.Digest(),
		Isolated: s.Node.Isolation.Isolated(),
		Instances: []Instance{{
			Address: s.Node.Address, Incarnation: s.Node.Incarnation, Place: s.Node.Place,
			Revision: current.Revision(), Digest: current.Digest(), Draining: s.Node.Draining(),
		}},
	}
	for _, p := range s.Node.Table.Peers() {
		lastSeenAgeMS := int64(-1)
		if age, known := p.LastSeenAge(); known {
			lastSeenAgeMS = age.Milliseconds()
		}
		status.Instances = append(status.Instances, Instance{
			Address: p.Address(), Incarnation: p.Incarnation(), Place: p.Place(), Revision: p.Revision(),
			Digest: p.Digest(), Draining: p.Draining(), LastSeenAgeMS: lastSeenAgeMS,
		})
	}
	c.JSON(http.StatusOK, status)
}

func respondError(c *gin.Context, err error) {
	status, problem := problemResponse(err)
	c.AbortWithStatusJSON(status, gin.H{"error": problem})
}
