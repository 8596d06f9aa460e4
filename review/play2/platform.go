package main

import (
	"context"
	"fmt"
	"path/filepath"
	"syscall"
)

// places are those of the site acec-tempisque.
var places = []string{"canas", "canas", "bagaces", "liberia", "filadelfia"}

// runnerCount is the number of model runners of that site.
const runnerCount = 18

// modelService is the name of the service of the model runners.
const modelService = "huvo11a"

// configuration returns the first version of the configuration, with one route to the model runners.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-briefings", "host": consumerHost, "prefix": "/briefings/", "type": "streaming", "timeout_ms": 25000, "slo_ms": 4500,
			"priority": 1, "service": modelService, "attempts": 5, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 700,
		}},
		"services": []map[string]any{{
			"name": modelService, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity": 88000, "kv_token_bytes": 18432, "moves": false, "backups": false, "models": []map[string]any{{"name": "m"}},
			},
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// fleet is a small deployment: the store, the daemons and the model runners.
type fleet struct {
	store   *store
	daemons []*daemonProcess
	runners []*runner
	record  *record
}

// startFleet starts a deployment with a daemon for each of the places, and runners for which prepare is called.
func startFleet(ctx context.Context, dir string, rec *record, prepare func(r *runner)) (*fleet, error) {
	s, err := startStore(ctx)
	if err != nil {
		return nil, err
	}
	f := &fleet{store: s, record: rec}
	s.Put("op/config", configuration(1))
	for i := range runnerCount {
		r := &runner{store: s, record: rec, service: modelService, place: places[i%len(places)], answer: shortAnswer}
		r.onArrival, r.onCrash = func(arrival) {}, func() {}
		prepare(r)
		if err := r.start(ctx); err != nil {
			return nil, err
		}
		f.runners = append(f.runners, r)
	}
	for i, place := range places {
		d, err := newDaemon(ctx, dir, fmt.Sprintf("edge-%s-%d", place, i+1), place, s.address)
		if err != nil {
			return nil, err
		}
		f.daemons = append(f.daemons, d)
		if err := d.Start(ctx); err != nil {
			return nil, err
		}
		rec.log("daemon %s starts at %s, its log is %s", d.name, d.front, filepath.Base(d.logPath))
	}
	return f, nil
}

// close ends the daemons.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.Kill(syscall.SIGKILL)
	}
}
