package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"radishhollow/core/route"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// TokenizeInput is the text that Tokenize converts to tokens: a prompt, or the messages of a chat.
type TokenizeInput struct {
	Model    string    `json:"model"`
	Prompt   string    `json:"prompt,omitempty"`
	Messages []Message `json:"messages,omitempty"`
}

// Tokenize returns the token ids of a prompt or of a chat.
func (c *Client) Tokenize(ctx context.Context, address string, text TokenizeInput) ([]uint32, error) {
	var out struct {
		Tokens []uint32 `json:"tokens"`
	}
	err := c.callJSON(ctx, http.MethodPost, address, "/tokenize", text, &out)
	return out.Tokens, err
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (route.Report, error) {
	var out struct {
		Incarnation          string        `json:"incarnation"`
		State                route.State   `json:"state"`
		Place                string        `json:"place"`
		Sequence             uint64        `json:"sequence"`
		Running              int           `json:"running"`
		Waiting              int           `json:"waiting"`
		Slots                int           `json:"slots"`
		CacheBlocksUsed      int           `json:"cache-blocks-used"`
		CacheBlocks          int           `json:"cache-blocks"`
		WaitingPrefillTokens int           `json:"waiting-prefill-tokens"`
		PrefillRate          float64       `json:"prefill-rate"`
		TokenGapMS           float64       `json:"token-gap-ms"`
		Role                 string        `json:"role"`
		MaxFencingToken      uint64        `json:"fence"`
		Models               []loadedModel `json:"models"`
	}
	if err := c.callJSON(ctx, http.MethodGet, address, "/v1/load", nil, &out); err != nil {
		return route.Report{}, err
	}
	return route.Report{
		Address: address, Incarnation: out.Incarnation, State: out.State, Place: out.Place, Sequence: out.Sequence,
		Running: out.Running, Waiting: out.Waiting, Slots: out.Slots, CacheBlocksUsed: out.CacheBlocksUsed,
		CacheBlocks: out.CacheBlocks, WaitingPrefillTokens: out.WaitingPrefillTokens, PrefillRate: out.PrefillRate,
		TokenGap: time.Duration(out.TokenGapMS * float64(time.Millisecond)), Role: out.Role,
		MaxFencingToken: out.MaxFencingToken, Specs: specsOf(out.Models),
	}, nil
}

// loadedModel is a model in a load report.
type loadedModel struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	Adapters []struct {
		Name    string `json:"name"`
		Version string `json:"version"`
	} `json:"adapters"`
}

// specsOf returns the specs of the models and of each model with one of its adapters.
func specsOf(models []loadedModel) []string {
	var specs []string
	for _, m := range models {
		base := m.Name + "@" + m.Version
		specs = append(specs, base)
		for _, a := range m.Adapters {
			specs = append(specs, base+"+"+a.Name+"@"+a.Version)
		}
	}
	return specs
}

// CacheEvents returns the events after a sequence number, and the sequence number to pass to the next call. It skips
// events with a malformed block hash, because the index tolerates missing events.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]route.CacheEvent, uint64, error) {
	var out struct {
		Events []struct {
			Sequence uint64               `json:"sequence"`
			Kind     route.CacheEventKind `json:"kind"`
			Block    string               `json:"block"`
		} `json:"events"`
		Next uint64 `json:"next"`
	}
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	if err := c.callJSON(ctx, http.MethodGet, address, path, nil, &out); err != nil {
		return nil, 0, err
	}
	events := make([]route.CacheEvent, 0, len(out.Events))
	for _, e := range out.Events {
		if block, err := strconv.ParseUint(e.Block, 16, 64); err == nil {
			events = append(events, route.CacheEvent{Sequence: e.Sequence, Kind: e.Kind, Block: block})
		}
	}
	return events, out.Next, nil
}

// Order holds the parameters of an order to an engine.
type Order struct {
	// Kind is load-model, load-adapter, unload or set-role.
	Kind           string
	Model          string
	Version        string
	Adapter        string
	AdapterVersion string
	Role           string
	FencingToken   uint64
}

// Order sends an order. It returns when the engine has accepted the order; the engine's load report shows when the
// order is complete. If the engine has seen a higher fencing token, the error is a StaleFencingTokenError.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(struct {
		Kind           string `json:"kind"`
		Model          string `json:"model,omitempty"`
		Version        string `json:"version,omitempty"`
		Adapter        string `json:"adapter,omitempty"`
		AdapterVersion string `json:"adapter-version,omitempty"`
		Role           string `json:"role,omitempty"`
		FencingToken   uint64 `json:"fence"`
	}(order))
	if err != nil {
		return err
	}
	response, err := c.send(ctx, http.MethodPost, address, "/v1/orders", body)
	if err != nil {
		return err
	}
	defer drain(response)
	switch response.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusConflict:
		var refusal struct {
			Error struct {
				MaxFencingToken uint64 `json:"fence"`
			} `json:"error"`
		}
		// The order is refused even if the body cannot be read.
		_ = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&refusal)
		return StaleFencingTokenError{
			Endpoint: address, SentToken: order.FencingToken, MaxToken: refusal.Error.MaxFencingToken,
		}
	}
	return statusError(address, "order", response)
}
