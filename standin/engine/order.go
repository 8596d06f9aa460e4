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

// fetchRetry is the wait after the weight store refused a fetch.
const fetchRetry = 200 * time.Millisecond

type orderBody struct {
	Kind           string `json:"kind"`
	Model          string `json:"model"`
	Version        string `json:"version"`
	Adapter        string `json:"adapter"`
	AdapterVersion string `json:"adapter-version"`
	Role           string `json:"role"`
	Fence          uint64 `json:"fence"`
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
	if s.CheckFencingToken && order.Fence < s.fence {
		s.stats.StaleOrders++
		body := map[string]any{"code": "stale-fence", "fence": s.fence}
		standin.WriteJSON(w, http.StatusConflict, map[string]any{"error": body})
		return
	}
	s.fence = max(s.fence, order.Fence)
	if !s.orders.TryPush(order) {
		standin.Refuse(w, http.StatusTooManyRequests, "orders-full")
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// runOrders executes orders one after another.
func (s *Server) runOrders(ctx context.Context) {
	for {
		order, err := s.orders.Pop(ctx)
		if err != nil {
			return
		}
		switch order.Kind {
		case "load-model", "load-adapter":
			s.load(ctx, order)
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

// load fetches weights, takes the load time and installs them. Weights that are loaded already are left as they are.
func (s *Server) load(ctx context.Context, order orderBody) {
	s.mu.Lock()
	loaded := s.has(order)
	if !loaded {
		s.loading++
	}
	s.mu.Unlock()
	if loaded {
		return
	}
	name, version := order.Model, order.Version
	if order.Kind == "load-adapter" {
		name, version = order.Adapter, order.AdapterVersion
	}
	ok := s.fetch(ctx, name, version) && standin.Sleep(ctx.Done(), s.LoadTime) && s.awaitWake(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
	if ok {
		s.install(order)
	}
}

func (s *Server) has(order orderBody) bool {
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

// install replaces the version of a model or adapter; running streams of it continue with the new weights.
// A new version of a model drops the adapters of the old one. An adapter without its model is ignored.
func (s *Server) install(order orderBody) {
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
	s.respec()
}

// unload removes an adapter, or a model where the order names no adapter.
func (s *Server) unload(order orderBody) {
	s.models = slices.DeleteFunc(s.models, func(m Model) bool { return order.Adapter == "" && m.Name == order.Model })
	for i, m := range s.models {
		if m.Name == order.Model {
			s.models[i].Adapters = slices.DeleteFunc(slices.Clone(m.Adapters),
				func(a Adapter) bool { return a.Name == order.Adapter })
		}
	}
	s.respec()
}

// respec moves unfinished streams to the installed weights and ends those whose weights are gone.
func (s *Server) respec() {
	for _, st := range s.streams {
		spec, ok := s.specOf(st.model, st.adapter)
		switch {
		case st.finish != "":
		case !ok:
			s.remove(st)
		case spec != st.spec:
			st.replaceSpec(spec)
		}
	}
}

// fetch reads weights from the weight store and repeats while the store refuses.
func (s *Server) fetch(ctx context.Context, name, version string) bool {
	if s.Platform == "" {
		return true
	}
	target := "http://" + s.Platform + "/weights/" + url.PathEscape(name) + "/" + url.PathEscape(version)
	for {
		if status, err := fetchOnce(ctx, target); err == nil && status == http.StatusOK {
			return true
		}
		if !standin.Sleep(ctx.Done(), fetchRetry) {
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
