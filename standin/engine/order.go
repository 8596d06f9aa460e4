package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/juju/errors"

	"radishhollow/standin"
)

// fetchRetryDelay is the delay before a failed or refused fetch of weights is retried.
const fetchRetryDelay = 200 * time.Millisecond

type orderBody struct {
	Kind           string `json:"kind"`
	Model          string `json:"model"`
	Version        string `json:"version"`
	Adapter        string `json:"adapter"`
	AdapterVersion string `json:"adapter-version"`
	Role           string `json:"role"`
	FencingToken   uint64 `json:"fence"`
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order orderBody
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	if !slices.Contains([]string{"load-model", "load-adapter", "unload", "set-role"}, order.Kind) {
		standin.WriteError(w, http.StatusBadRequest, "unknown-order")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.CheckFencingToken && order.FencingToken < s.maxFencingToken {
		s.stats.StaleOrders++
		body := map[string]any{"code": "stale-fence", "fence": s.maxFencingToken}
		standin.WriteJSON(w, http.StatusConflict, map[string]any{"error": body})
		return
	}
	s.maxFencingToken = max(s.maxFencingToken, order.FencingToken)
	if !s.orders.TryPush(order) {
		standin.Refuse(w, http.StatusTooManyRequests, "orders-full")
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// runOrders executes the queued orders one at a time.
func (s *Server) runOrders(ctx context.Context) {
	for {
		order, err := s.orders.Pop(ctx)
		if err != nil {
			return
		}
		switch order.Kind {
		case "load-model", "load-adapter":
			s.loadWeights(ctx, order)
		case "unload":
			s.mu.Lock()
			s.unload(order)
			s.mu.Unlock()
		case "set-role":
			s.mu.Lock()
			s.role = order.Role
			s.mu.Unlock()
		}
	}
}

// loadWeights fetches weights, waits for the load time and installs them. It does nothing if they are already loaded.
func (s *Server) loadWeights(ctx context.Context, order orderBody) {
	s.mu.Lock()
	loaded := s.isLoaded(order)
	if !loaded {
		s.loadsInProgress++
	}
	s.mu.Unlock()
	if loaded {
		return
	}
	name, version := order.Model, order.Version
	if order.Kind == "load-adapter" {
		name, version = order.Adapter, order.AdapterVersion
	}
	ok := s.fetchWeights(ctx, name, version) && standin.Sleep(ctx.Done(), s.LoadTime) && s.awaitUnfrozen(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadsInProgress--
	if ok {
		s.installWeights(order)
	}
}

func (s *Server) isLoaded(order orderBody) bool {
	return slices.ContainsFunc(s.models, func(m Model) bool {
		if m.Name != order.Model {
			return false
		}
		if order.Kind == "load-model" {
			return m.Version == order.Version
		}
		return slices.Contains(m.Adapters, Adapter{Name: order.Adapter, Version: order.AdapterVersion})
	})
}

// installWeights adds a model or an adapter, or replaces the loaded version, in which case its running streams continue
// with the new weights. A new version of a model drops the adapters of the old one. An adapter whose model is not
// loaded is ignored.
func (s *Server) installWeights(order orderBody) {
	i := slices.IndexFunc(s.models, func(m Model) bool { return m.Name == order.Model })
	switch {
	case order.Kind == "load-model" && i < 0:
		s.models = append(s.models, Model{Name: order.Model, Version: order.Version})
	case order.Kind == "load-model":
		s.models[i] = Model{Name: order.Model, Version: order.Version}
	case i >= 0:
		others := slices.DeleteFunc(slices.Clone(s.models[i].Adapters),
			func(a Adapter) bool { return a.Name == order.Adapter })
		installed := Adapter{Name: order.Adapter, Version: order.AdapterVersion}
		s.models[i].Adapters = slices.Insert(others, 0, installed)
	}
	s.updateSpecs()
}

// unload removes an adapter, or a model if the order names no adapter.
func (s *Server) unload(order orderBody) {
	s.models = slices.DeleteFunc(s.models, func(m Model) bool { return order.Adapter == "" && m.Name == order.Model })
	for i, m := range s.models {
		if m.Name == order.Model {
			s.models[i].Adapters = slices.DeleteFunc(slices.Clone(m.Adapters),
				func(a Adapter) bool { return a.Name == order.Adapter })
		}
	}
	s.updateSpecs()
}

// updateSpecs switches unfinished streams to the installed weights and removes those whose weights were unloaded.
func (s *Server) updateSpecs() {
	for _, st := range s.streams {
		spec, ok := s.specOf(st.model, st.adapter)
		switch {
		case st.finishReason != "":
		case !ok:
			s.removeStream(st)
		case spec != st.spec:
			st.replaceSpec(spec)
		}
	}
}

// fetchWeights fetches weights from the weight store and retries until it succeeds. It returns false if ctx ends first.
func (s *Server) fetchWeights(ctx context.Context, name, version string) bool {
	if s.Platform == "" {
		return true
	}
	target := "http://" + s.Platform + "/weights/" + url.PathEscape(name) + "/" + url.PathEscape(version)
	for {
		if status, err := fetchOnce(ctx, target); err == nil && status == http.StatusOK {
			return true
		}
		if !standin.Sleep(ctx.Done(), fetchRetryDelay) {
			return false
		}
	}
}

func fetchOnce(ctx context.Context, target string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return 0, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, errors.Trace(err)
	}
	return resp.StatusCode, nil
}
