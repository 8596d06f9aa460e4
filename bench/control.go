package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"radishhollow/standin/engine"
)

// controlClient serves the calls to stand-ins and to the daemons' own pages.
var controlClient = &http.Client{}

// Fault sends a body to a stand-in's POST /faults.
func Fault(ctx context.Context, address string, faults any) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	_, err = call(ctx, http.MethodPost, "http://"+address+"/faults", data)
	return err
}

// EngineStats returns an engine's counters.
func EngineStats(ctx context.Context, address string) (engine.Stats, error) {
	var stats engine.Stats
	data, err := call(ctx, http.MethodGet, "http://"+address+"/stats", nil)
	if err != nil {
		return stats, err
	}
	return stats, json.Unmarshal(data, &stats)
}

// Runs returns how often the service runners ran each key.
func (f *Fleet) Runs(ctx context.Context) (map[string]int, error) {
	total := map[string]int{}
	for _, n := range f.services {
		data, err := call(ctx, http.MethodGet, "http://"+n.address+"/runs", nil)
		if err != nil {
			return nil, err
		}
		var answer struct {
			Runs map[string]int `json:"runs"`
		}
		if err := json.Unmarshal(data, &answer); err != nil {
			return nil, err
		}
		for key, n := range answer.Runs {
			total[key] += n
		}
	}
	return total, nil
}

// Metric returns the sum over all daemons of the metrics whose lines start with the prefix.
func (f *Fleet) Metric(ctx context.Context, prefix string) (float64, error) {
	sum := 0.0
	for _, d := range f.daemons {
		data, err := call(ctx, http.MethodGet, "http://"+d.settings.OperatorListen+"/metrics", nil)
		if err != nil {
			return 0, err
		}
		for line := range strings.Lines(string(data)) {
			if !strings.HasPrefix(line, prefix) {
				continue
			}
			fields := strings.Fields(line)
			value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
			if err != nil {
				return 0, err
			}
			sum += value
		}
	}
	return sum, nil
}

func (d *Daemon) ready(ctx context.Context) bool {
	_, err := call(ctx, http.MethodGet, "http://"+d.Address()+"/readyz", nil)
	return err == nil
}

func call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusMultipleChoices {
		err = StatusError{URL: url, Status: resp.StatusCode}
	}
	return data, err
}
