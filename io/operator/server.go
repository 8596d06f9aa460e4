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

// applyTimeout bounds the compare-and-swap with all attempts to settle it, below the command line's timeout.
const applyTimeout = 15 * time.Second

// Server serves operators. Fields are set before use.
type Server struct {
	// KeyDigest is the SHA-256 digest of the operator key in hex.
	KeyDigest string
	Node      *peer.Node
	Writer    *config.Writer
}

// Handler returns the HTTP handler of the operator address. Metrics and the liveness check need no key, because their
// readers have none; the address is not reachable for callers.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.GET("/livez", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/metrics", s.metrics)
	group := engine.Group("/operator", s.authenticate)
	group.POST("/check", s.check)
	group.POST("/plan", s.plan)
	group.POST("/apply", s.apply)
	group.GET("/status", s.status)
	return engine
}

// authenticate compares digests, so that the duration tells nothing about the key's length or content.
func (s *Server) authenticate(c *gin.Context) {
	key, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	want := []byte(strings.ToLower(s.KeyDigest))
	if !found || subtle.ConstantTimeCompare([]byte(config.KeyDigest(key)), want) != 1 {
		refuse(c, KeyError{})
		return
	}
	c.Next()
}

func (s *Server) metrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; version=0.0.4")
	s.Node.Metrics.WritePrometheus(c.Writer)
}

func (s *Server) check(c *gin.Context) {
	fields, faults := config.Parse(c.Request.Body)
	if len(faults) > 0 {
		refuse(c, faults)
		return
	}
	c.JSON(http.StatusOK, s.planOf(fields))
}

func (s *Server) plan(c *gin.Context) {
	fields, faults := config.Parse(c.Request.Body)
	if len(faults) > 0 {
		refuse(c, faults)
		return
	}
	plan := s.planOf(fields)
	if inForce := s.Node.Store.Current(); inForce.Digest() != plan.Digest && inForce.SheetNumber() >= plan.SheetNumber {
		refuse(c, config.StaleSheetError{
			SheetNumber: plan.SheetNumber, InForce: inForce.SheetNumber(), Revision: inForce.Revision(),
		})
		return
	}
	c.JSON(http.StatusOK, plan)
}

func (s *Server) planOf(fields config.Fields) Plan {
	current := s.Node.Store.Current()
	next := config.NewDocument(current.Revision()+1, fields)
	return Plan{
		Base: current.Revision(), SheetNumber: fields.SheetNumber, Digest: next.Digest(),
		Changes: config.Diff(current.Fields(), fields),
	}
}

// apply answers after the accepted write; the revision then spreads by watch and by exchange.
func (s *Server) apply(c *gin.Context) {
	base, err := baseOf(c)
	if err != nil {
		refuse(c, err)
		return
	}
	fields, faults := config.Parse(c.Request.Body)
	if len(faults) > 0 {
		refuse(c, faults)
		return
	}
	// The write goes on where the operator hangs up, so that its outcome is settled.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request.Context()), applyTimeout)
	defer cancel()
	applied, err := s.Writer.Apply(ctx, fields, base)
	if err != nil {
		refuse(c, err)
		return
	}
	document := applied.Document()
	if _, err := s.Node.Store.Offer(document); err != nil {
		refuse(c, err)
		return
	}
	c.JSON(http.StatusOK, Applied{
		Revision: document.Revision(), Digest: document.Digest(), AlreadyInForce: applied.AlreadyInForce(),
	})
}

func baseOf(c *gin.Context) (*uint64, error) {
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
		heard := int64(-1)
		if age, known := p.LastSeenAge(); known {
			heard = age.Milliseconds()
		}
		status.Instances = append(status.Instances, Instance{
			Address: p.Address(), Incarnation: p.Incarnation(), Place: p.Place(), Revision: p.Revision(),
			Digest: p.Digest(), Draining: p.Draining(), LastSeenAgeMS: heard,
		})
	}
	c.JSON(http.StatusOK, status)
}

func refuse(c *gin.Context, err error) {
	status, problem := problemOf(err)
	c.AbortWithStatusJSON(status, gin.H{"error": problem})
}
