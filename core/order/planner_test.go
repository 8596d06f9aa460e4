package order_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/generation"
	"radishhollow/core/order"
	"radishhollow/core/route"
)

func document(version string, perMinute float64) config.Document {
	return config.NewDocument(1, config.Fields{
		Places: []string{"liberia", "canas"},
		Models: []config.Model{{
			Name: "m", Version: version, Fencing: true, Adapters: []config.Adapter{{Name: "a", Version: "1"}},
		}},
		Settings: config.Settings{WeightLoadsPerMinute: perMinute},
	})
}

func report(address string, state route.State, specs ...string) route.Report {
	return route.Report{Address: address, Incarnation: "i", Place: "liberia", State: state, Specs: specs}
}

// Guards against wrong or early orders: an adapter before its model, an unload before the new version is loaded, and
// orders to endpoints that are leaving, loading or in another place.
func TestPlanNext(t *testing.T) {
	tests := []struct {
		name   string
		report route.Report
		kind   order.Kind
		spec   string
	}{
		{name: "empty", report: report("e", route.StateReady), kind: order.LoadModel, spec: "m@2"},
		{name: "old version", report: report("e", route.StateReady, "m@1", "m@1+a@1"), kind: order.LoadModel, spec: "m@2"},
		{name: "adapter", report: report("e", route.StateReady, "m@1", "m@2"), kind: order.LoadAdapter, spec: "m@2+a@1"},
		{name: "surplus", report: report("e", route.StateReady, "m@1", "m@2", "m@2+a@1"), kind: order.Unload, spec: "m@1"},
		{name: "complete", report: report("e", route.StateReady, "m@2", "m@2+a@1")},
		{name: "loading", report: report("e", route.StateLoading, "m@1")},
		{name: "leaving", report: report("e", route.StateLeaving, "m@1")},
		{name: "another place", report: route.Report{Address: "e", Place: "canas", State: route.StateReady}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &order.Planner{Place: "liberia", ModelOf: func(string) string { return "m" }}
			var want []order.Order
			if tt.kind != "" {
				spec, err := generation.ParseSpec(tt.spec)
				require.NoError(t, err)
				want = []order.Order{{Address: "e", Incarnation: "i", Kind: tt.kind, Spec: spec, Fencing: true}}
			}
			require.Equal(t, want, p.Plan(document("2", 0), []route.Report{tt.report}, nil))
		})
	}
}

// Guards against a version change that takes too many endpoints out of service at the same time.
func TestPlanKeepsCapacity(t *testing.T) {
	var reports []route.Report
	for _, address := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		reports = append(reports, report(address, route.StateReady, "m@1"))
	}
	p := &order.Planner{Place: "liberia"}
	addresses := func(pending map[string]bool) []string {
		var list []string
		for _, o := range p.Plan(document("2", 0), reports, pending) {
			list = append(list, o.Address)
		}
		return list
	}
	require.Equal(t, []string{"a", "b"}, addresses(nil))
	require.Equal(t, []string{"c", "d"}, addresses(map[string]bool{"c": true, "d": true}), "pending orders are repeated")
	reports[7].State = route.StateLoading
	require.Equal(t, []string{"a"}, addresses(nil))
	reports[6].State = route.StateLoading
	require.Empty(t, addresses(nil))
	reports = reports[:1]
	require.Equal(t, []string{"a"}, addresses(nil), "a single endpoint must also get the new version")
}

// Guards against a version change that ends the streams of the last engines with the old version, which have no other
// engine to resume on. The first engines may change immediately, because their streams can resume on the last ones.
func TestPlanKeepsOldVersionForStreams(t *testing.T) {
	running := func(r route.Report) route.Report {
		r.Running = 3
		return r
	}
	reports := []route.Report{
		running(report("a", route.StateReady, "m@1")), running(report("b", route.StateReady, "m@1")),
		running(report("c", route.StateReady, "m@1")), running(report("d", route.StateReady, "m@1")),
	}
	drainOver := false
	p := &order.Planner{Place: "liberia", MayInterrupt: func(string) bool { return drainOver }}
	addresses := func() []string {
		var list []string
		for _, o := range p.Plan(document("2", 0), reports, nil) {
			list = append(list, o.Address)
		}
		return list
	}
	require.Equal(t, []string{"a"}, addresses(), "three other engines have the old version")
	reports[0], reports[1] = report("a", route.StateReady, "m@2", "m@2+a@1"), report("b", route.StateReady, "m@2", "m@2+a@1")
	require.Empty(t, addresses(), "the last half of the engines is protected")
	reports[3].Running = 0
	require.Equal(t, []string{"d"}, addresses(), "an idle engine has no streams to interrupt")
	reports[3].Running, drainOver = 3, true
	require.Equal(t, []string{"c"}, addresses(), "the wait is limited")
}
