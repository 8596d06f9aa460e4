package rollout

import (
	"slices"
	"time"
)

// Rule states which endpoints of a service one request may go to. The zero value allows all. A Rule is used for one pick:
// the caller considers only endpoints that Allows accepts. Where none of them can take the request, it calls Return and
// picks once more with the rule of Fallback, if there is one.
type Rule struct {
	scope *scope
	mode  mode
	// charged states that the rule has used up allowance.
	charged bool
}

// mode is what a Rule allows.
type mode uint8

const (
	// anyVersion allows all endpoints.
	anyVersion mode = iota
	// allKnown allows the versions that are known and not barred, the target included.
	allKnown
	// others allows the versions that are known and not barred, without the target.
	others
	// preferOthers is others for the first pick and allKnown in the fallback.
	preferOthers
	// observingSubset allows the endpoints of the target that are observed.
	observingSubset
	// targetOnly allows all endpoints of the target.
	targetOnly
)

// scope is what all rules of a service have in common at a time. It is not modified.
type scope struct {
	service string
	// target and the fields after it belong to the roll-out; target is empty if there is none.
	target  string
	phase   Phase
	since   time.Time
	pace    *pace
	checked bool
	// isSuspect states that there is some evidence against the target.
	isSuspect bool
	// known holds all versions that were listed and are not held back, barred those that get no requests.
	known, barred []string
	// subset holds the incarnations of the target's endpoints that are used while observing.
	subset []string
	// unrestricted states that a rule would leave no listed endpoint.
	unrestricted bool
}

// IsRestricted reports whether the rule excludes any endpoint.
func (r Rule) IsRestricted() bool { return r.mode != anyVersion }

// ToTarget reports whether the request goes to the target.
func (r Rule) ToTarget() bool { return r.mode == observingSubset || r.mode == targetOnly }

// Target returns the target's version, or an empty string if the service has no roll-out.
func (r Rule) Target() string {
	if r.scope == nil {
		return ""
	}
	return r.scope.target
}

// Allows reports whether the request may go to an endpoint.
func (r Rule) Allows(version, incarnation string) bool {
	switch r.mode {
	case allKnown:
		return r.scope.allows(version)
	case others, preferOthers:
		return r.scope.allows(version) && (r.scope.target == "" || version != r.scope.target)
	case observingSubset:
		return version == r.scope.target && slices.Contains(r.scope.subset, incarnation)
	case targetOnly:
		return version == r.scope.target
	default:
		return true
	}
}

func (s *scope) allows(version string) bool {
	return slices.Contains(s.known, version) && !slices.Contains(s.barred, version)
}

// Fallback returns the rule for a second pick where no endpoint that this rule allows can take the request, and false if
// there is none. The caller must have called Return with this rule.
func (r Rule) Fallback() (Rule, bool) {
	switch r.mode {
	case observingSubset:
		return Rule{scope: r.scope, mode: others}, true
	case targetOnly, preferOthers:
		return Rule{scope: r.scope, mode: allKnown}, true
	default:
		return Rule{}, false
	}
}

// RecordRequest records that a request for a service has arrived. It is called once for each request of a caller, not for
// retries.
func (c *Controller) RecordRequest(service string) {
	if s := c.scope(service); s != nil && s.phase == Observing {
		s.pace.recordRequest()
	}
}

// Rule returns the rule for the next pick of an endpoint: for a first attempt, a retry, a hedge or a resume. A rule that
// sends the request to the target uses up allowance while observing.
func (c *Controller) Rule(service string) Rule {
	s := c.scope(service)
	if s == nil || s.unrestricted {
		return Rule{}
	}
	switch s.phase {
	case Observing:
		now := time.Now()
		if s.checked && len(s.subset) > 0 && c.contact.isCurrent(now) && s.pace.take(now) {
			return Rule{scope: s, mode: observingSubset, charged: true}
		}
		return Rule{scope: s, mode: others}
	case Shifting:
		now := time.Now()
		if !c.contact.isCurrent(now) {
			return Rule{scope: s, mode: preferOthers}
		}
		if s.pace.shift(now.Sub(s.since), s.isSuspect) {
			return Rule{scope: s, mode: targetOnly}
		}
		return Rule{scope: s, mode: preferOthers}
	case RolledBack:
		return Rule{scope: s, mode: others}
	case Completed:
		return Rule{scope: s, mode: targetOnly}
	default:
		return Rule{scope: s, mode: allKnown}
	}
}

// HolderRule returns the rule for the choice among holders of KV cache copies, for a resume and for a new copy. It uses up
// no allowance, so it allows no endpoint of the target while observing.
func (c *Controller) HolderRule(service string) Rule {
	s := c.scope(service)
	switch {
	case s == nil || s.unrestricted:
		return Rule{}
	case s.phase == Observing || s.phase == RolledBack:
		return Rule{scope: s, mode: others}
	case s.phase == Shifting && !c.contact.isCurrent(time.Now()):
		return Rule{scope: s, mode: preferOthers}
	default:
		return Rule{scope: s, mode: allKnown}
	}
}

// CopyTarget returns the version whose endpoints copies of KV caches should go to, and false if any will do.
func (c *Controller) CopyTarget(service string) (version string, ok bool) {
	s := c.scope(service)
	if s == nil || s.phase != Shifting && s.phase != Completed {
		return "", false
	}
	return s.target, true
}

// Return gives back the allowance of a rule whose request was not sent.
func (c *Controller) Return(rule Rule) {
	if rule.charged {
		rule.scope.pace.giveBack()
	}
}

// scope returns the scope of a service, or nil if there is nothing to restrict.
func (c *Controller) scope(service string) *scope {
	scopes := c.scopes.Load()
	if scopes == nil {
		return nil
	}
	return (*scopes)[service]
}
