package order

import (
	"cmp"
	"slices"

	"radishhollow/core/config"
	"radishhollow/core/generation"
	"radishhollow/core/route"
)

// protectedFraction is the fraction of a model's endpoints in all places whose streams are protected: once no more than
// this fraction serve an old version, they are changed only when idle or after MayInterrupt allows it, so that streams
// of the endpoints that changed earlier can resume on them. It is this large because the lease holders of other places
// may send orders at the same time.
const protectedFraction = 0.5

// DefaultMaxLoadingFraction is the fraction of a model's endpoints in a place that may load at the same time.
const DefaultMaxLoadingFraction = 0.25

// Planner plans orders from the difference between configured and reported models. It keeps no state between plans.
type Planner struct {
	Place string
	// MaxLoadingFraction is the fraction of a model's endpoints in the place that may be out of service for loading at
	// the same time. One endpoint always may. Zero means DefaultMaxLoadingFraction.
	MaxLoadingFraction float64
	// ModelOf returns the model that the instance list gives for an address, or an empty string. It may be nil.
	ModelOf func(address string) string
	// MayInterrupt reports whether an endpoint has had enough time to finish streams that may have no other endpoint to
	// resume on. Nil means that it always has.
	MayInterrupt func(address string) bool
}

// engine is the planner's view of one endpoint.
type engine struct {
	report  route.Report
	specs   []generation.Spec
	pending bool
}

func newEngine(report route.Report, pending map[string]bool) engine {
	e := engine{report: report, pending: pending[report.Address]}
	for _, text := range report.Specs {
		if spec, err := generation.ParseSpec(text); err == nil {
			e.specs = append(e.specs, spec)
		}
	}
	return e
}

// Plan returns at most one order per endpoint. The model's version is loaded first, then its adapters, and unwanted
// versions are unloaded last, so that the endpoint serves requests throughout. Addresses in pending have an order that
// their report does not show yet. Their orders are returned again and count as loading. Endpoints without a model come
// first and are not limited, because loading on them costs no capacity.
func (p *Planner) Plan(doc config.Document, reports []route.Report, pending map[string]bool) []Order {
	var orders []Order
	for _, model := range doc.Models() {
		engines := p.engines(model.Name, reports, pending)
		orders = append(orders, p.planModel(model, engines, p.oldVersionProtected(model, reports, pending))...)
	}
	return orders
}

// engines returns the model's endpoints in this place, those without a loaded model first, in the order of their
// addresses.
func (p *Planner) engines(model string, reports []route.Report, pending map[string]bool) []engine {
	var engines []engine
	for _, report := range reports {
		if report.Place != p.Place || report.State == route.StateLeaving {
			continue
		}
		if e := newEngine(report, pending); p.modelOf(e) == model {
			engines = append(engines, e)
		}
	}
	slices.SortFunc(engines, func(a, b engine) int {
		return cmp.Or(
			cmp.Compare(min(len(a.specs), 1), min(len(b.specs), 1)),
			cmp.Compare(a.report.Address, b.report.Address),
		)
	})
	return engines
}

// modelOf returns the model of an endpoint. It prefers the instance list, because an endpoint that has loaded nothing
// yet reports no model.
func (p *Planner) modelOf(e engine) string {
	if p.ModelOf != nil {
		if name := p.ModelOf(e.report.Address); name != "" {
			return name
		}
	}
	if len(e.specs) > 0 {
		return e.specs[0].Model()
	}
	return ""
}

// oldVersionProtected reports whether the endpoints in all places that serve an older version are no more than
// protectedFraction of the model's endpoints.
func (p *Planner) oldVersionProtected(model config.Model, reports []route.Report, pending map[string]bool) bool {
	total, older := 0, 0
	for _, report := range reports {
		e := newEngine(report, pending)
		if p.modelOf(e) != model.Name {
			continue
		}
		total++
		if !e.unavailable() && !e.hasVersion(model) {
			older++
		}
	}
	return float64(older) <= protectedFraction*float64(total)
}

func (p *Planner) planModel(model config.Model, engines []engine, protected bool) []Order {
	limit := max(1, int(p.maxLoadingFraction()*float64(len(engines))))
	unavailable := 0
	for _, e := range engines {
		if e.unavailable() {
			unavailable++
		}
	}
	var orders []Order
	for _, e := range engines {
		o, ok := nextOrder(model, e)
		if !ok {
			continue
		}
		if protected && p.mustWaitForStreams(o, e, model) {
			continue
		}
		if o.readsWeights() && !e.unavailable() {
			if unavailable >= limit {
				continue
			}
			unavailable++
		}
		orders = append(orders, o)
	}
	return orders
}

// mustWaitForStreams reports whether an order must wait because it may end streams that may have no other endpoint to
// resume on.
func (p *Planner) mustWaitForStreams(o Order, e engine, model config.Model) bool {
	interrupts := o.Kind == Unload || (o.Kind == LoadModel && len(e.specs) > 0 && !e.hasVersion(model))
	if !interrupts || e.pending || e.report.Running+e.report.Waiting == 0 {
		return false
	}
	return p.MayInterrupt != nil && !p.MayInterrupt(e.report.Address)
}

// hasVersion reports whether the endpoint serves the configured version of the model.
func (e engine) hasVersion(model config.Model) bool {
	return slices.Contains(e.specs, generation.NewSpec(model.Name, model.Version, "", ""))
}

// unavailable reports whether the endpoint provides no serving capacity now, or soon will provide none because of a
// pending order.
func (e engine) unavailable() bool {
	return e.pending || e.report.State != route.StateReady || len(e.specs) == 0
}

// nextOrder returns the endpoint's next order. A loading endpoint gets no order until its report shows the result.
func nextOrder(model config.Model, e engine) (Order, bool) {
	if e.report.State == route.StateLoading {
		return Order{}, false
	}
	o := Order{Address: e.report.Address, Incarnation: e.report.Incarnation, Fencing: model.Fencing}
	wanted := []generation.Spec{generation.NewSpec(model.Name, model.Version, "", "")}
	for _, a := range model.Adapters {
		wanted = append(wanted, generation.NewSpec(model.Name, model.Version, a.Name, a.Version))
	}
	for _, spec := range wanted {
		if slices.Contains(e.specs, spec) {
			continue
		}
		o.Kind, o.Spec = LoadModel, spec
		if spec.Adapter() != "" {
			o.Kind = LoadAdapter
		}
		return o, true
	}
	for _, spec := range e.specs {
		if !slices.Contains(wanted, spec) {
			o.Kind, o.Spec = Unload, spec
			return o, true
		}
	}
	return Order{}, false
}

func (p *Planner) maxLoadingFraction() float64 {
	if p.MaxLoadingFraction == 0 {
		return DefaultMaxLoadingFraction
	}
	return p.MaxLoadingFraction
}
