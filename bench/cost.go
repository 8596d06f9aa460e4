package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/route"
	"radishhollow/daemon"
	"radishhollow/io/keyvalue"
	"radishhollow/io/settings"
	"radishhollow/standin/platform"
)

// CostSizes holds the sizes of a deployment and the rates of its changes.
type CostSizes struct {
	// Daemons is the number of daemons, including the measured one.
	Daemons    int `json:"daemons"`
	Endpoints  int `json:"endpoints"`
	Models     int `json:"models"`
	Places     int `json:"places"`
	Workspaces int `json:"workspaces"`
	// ChangesPerMinute is the rate of new revisions.
	ChangesPerMinute float64 `json:"changes-per-minute"`
	// ListChangesPerMinute is the rate of changes of the instance list.
	ListChangesPerMinute float64 `json:"list-changes-per-minute"`
	// Marks is the number of endpoint marks in each view that a peer sends; views have at most marksPerView (16).
	Marks int `json:"marks"`
	// Streams is the number of streams that the daemon forwards, each with a token every 67 ms. They need stand-in
	// engines instead of fake endpoints, so Endpoints must be small.
	Streams int    `json:"streams"`
	Seed    uint64 `json:"seed"`
	// SettleSeconds is the time between the start of the streams and the measurement.
	SettleSeconds float64 `json:"settle-s"`
	// MeasureSeconds is the duration of the measurement.
	MeasureSeconds float64 `json:"measure-s"`
}

// Cost measures the CPU, memory and network cost of the control plane of one daemon. All other daemons and the
// endpoints are fakes in this process. Callers send no requests except for CostSizes.Streams. Exported fields must be
// set before Run.
type Cost struct {
	CostSizes

	// SettingsFile is the path to which the settings of the measured daemon are written; the daemon is then started
	// manually with `serve`. If it is empty, the daemon runs in this process and the figures include the fakes.
	SettingsFile string
	// OnReadyToStart is called once SettingsFile is written and the daemon can be started manually, or once the daemon
	// in this process has been started. It may be nil.
	OnReadyToStart func()

	settings      settings.Settings
	listings      []route.Listing
	peers         *fakePeerGroup
	fakes         fakeServers
	group         sync.WaitGroup
	platform      *costPlatform
	failedStreams atomic.Int64
	traffic       struct{ peers, endpoints, platform Traffic }
}

// CostResult is the result of one run, printed as a JSON line.
type CostResult struct {
	Experiment string `json:"experiment"`
	CostSizes
	// SeparateProcess reports whether the daemon ran in its own process.
	SeparateProcess bool `json:"separate-process"`
	// CorePercent is the CPU time in percent of one core.
	CorePercent float64 `json:"core-percent"`
	// ResidentMB and HeapMB are the resident memory and the allocated heap at the end of the measurement in MiB.
	ResidentMB float64 `json:"resident-mb"`
	HeapMB     float64 `json:"heap-mb"`
	// BytesPerSecond holds the bytes per second, including HTTP headers, exchanged with the peers, the endpoints and
	// the platform, by direction as seen by the daemon. The entry instance-list-bodies has the bytes received from the
	// platform as bodies of instance lists.
	BytesPerSecond map[string]float64 `json:"bytes-per-s"`
	// CallsPerSecond holds the calls per second received by the peers, the endpoints and the platform, the daemon's
	// count of its calls to the platform by kind and, with the prefix platform-, the platform's count, which includes
	// the calls by which the experiment itself applies sheets.
	CallsPerSecond map[string]float64 `json:"calls-per-s"`
	// PolledEndpoints is the number of endpoints in the daemon's subsets, which it polls.
	PolledEndpoints int `json:"polled-endpoints"`
	// TokensPerSecond is the number of chunks per second that the daemon forwarded. At the rate of the streams, each
	// chunk has one token.
	TokensPerSecond float64 `json:"tokens-per-s"`
	// FailedStreams is the number of streams that ended with an error.
	FailedStreams int64 `json:"failed-streams"`
}

// Run starts the fakes, waits for the daemon and measures it.
func (c *Cost) Run(ctx context.Context) (CostResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.group.Wait()
	defer c.fakes.close()
	defer cancel()
	if err := c.startEnvironment(ctx); err != nil {
		return CostResult{}, err
	}
	if err := c.startDaemon(ctx); err != nil {
		return CostResult{}, err
	}
	c.group.Go(func() { c.peers.runCalls(ctx, c.settings.PeerListen, c.settings.Limits.ExchangeFanout) })
	c.group.Go(func() { c.platform.runChanges(ctx, c) })
	c.group.Go(func() { c.platform.runListChanges(ctx, c.ListChangesPerMinute) })
	if err := c.awaitReady(ctx); err != nil {
		return CostResult{}, err
	}
	c.group.Go(func() { c.runStreams(ctx) })
	sleep(ctx, c.SettleSeconds)
	before, err := c.sample(ctx)
	if err != nil {
		return CostResult{}, err
	}
	sleep(ctx, c.MeasureSeconds)
	after, err := c.sample(ctx)
	return c.result(before, after), err
}

// startEnvironment chooses the daemon's settings and starts the platform, the peers and the endpoints in the daemon's
// subsets.
func (c *Cost) startEnvironment(ctx context.Context) error {
	s := settings.Defaults()
	s.Place, s.LogLevel = placeName(0), "warn"
	s.OperatorKeyDigest, s.CursorKeys = config.KeyDigest(operatorKey), []string{cursorKey}
	for _, address := range []*string{&s.Listen, &s.OperatorListen, &s.PeerListen} {
		free, err := freeAddress(ctx)
		if err != nil {
			return err
		}
		*address = free
	}
	// All fakes listen on the same free port at different addresses, so that concurrent runs do not collide.
	free, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	port := netip.MustParseAddrPort(free).Port()
	c.listings = generateListings(c.Endpoints, c.Models, c.Places, port)
	if c.Streams > 0 {
		if err := c.startEngines(ctx); err != nil {
			return err
		}
	}
	c.peers = &fakePeerGroup{workspaces: c.Workspaces, marks: c.Marks, store: &config.Store{}, random: newLockedRand(c.Seed)}
	for i := range c.Daemons - 1 {
		c.peers.addresses = append(c.peers.addresses, fakeAddress(peerBlock, i, port))
	}
	c.platform = &costPlatform{peers: c.peers, instances: toInstances(c.listings)}
	address, err := c.platform.start(ctx, c)
	if err != nil {
		return err
	}
	s.Platform = address
	c.settings = s
	return c.startFakes(ctx)
}

func (c *Cost) startFakes(ctx context.Context) error {
	for i, address := range c.peers.addresses {
		handler := rpcHandler(c.peers.server(i))
		if _, err := c.fakes.serve(ctx, address, &c.traffic.peers, handler); err != nil {
			return err
		}
	}
	for _, target := range c.polledListings() {
		if c.Streams > 0 && target.Kind == route.KindModel {
			continue
		}
		if _, err := c.fakes.serve(ctx, target.Address, &c.traffic.endpoints, fakeEndpoint(target)); err != nil {
			return err
		}
	}
	return nil
}

// polledListings returns the endpoints that the daemon polls. They depend on its address and the instance list.
func (c *Cost) polledListings() []route.Listing {
	policy := route.DefaultPolicy()
	policy.SubsetSize = c.settings.Limits.SubsetSize
	table := route.New(c.settings.PeerListen, policy)
	table.Sync(c.listings)
	polled := map[string]bool{}
	for _, target := range table.PollTargets() {
		polled[target.Address()] = true
	}
	var list []route.Listing
	for _, row := range c.listings {
		if polled[row.Address] {
			list = append(list, row)
		}
	}
	return list
}

// startDaemon runs the daemon in this process, or writes the settings for a daemon that is started manually.
func (c *Cost) startDaemon(ctx context.Context) error {
	if c.SettingsFile != "" {
		if err := os.WriteFile(c.SettingsFile, []byte(settingsText(c.settings)), 0o600); err != nil {
			return err
		}
	} else {
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		s := c.settings
		s.Timeouts.DrainDelay.Duration = 0
		c.group.Go(func() { _ = daemon.Run(ctx, s, log, func() {}) })
	}
	if c.OnReadyToStart != nil {
		c.OnReadyToStart()
	}
	return nil
}

func settingsText(s settings.Settings) string {
	return fmt.Sprintf("place = %q\nlisten = %q\noperator-listen = %q\npeer-listen = %q\nplatform = %q\n"+
		"operator-key-digest = %q\ncursor-keys = [%q]\nlog-level = %q\n",
		s.Place, s.Listen, s.OperatorListen, s.PeerListen, s.Platform, s.OperatorKeyDigest, s.CursorKeys[0], s.LogLevel)
}

func (c *Cost) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d := Daemon{settings: c.settings}
	for !d.isReady(ctx) {
		if ctx.Err() != nil {
			return NotReadyError{Daemon: d.Address()}
		}
		time.Sleep(pollPause)
	}
	return nil
}

// costPlatform is a stand-in platform with a generated instance list, behind a proxy that counts its traffic.
type costPlatform struct {
	peers     *fakePeerGroup
	instances []Instance
	// standInAddress is the address of the stand-in behind the proxy.
	standInAddress string
	// listTraffic counts the traffic of the instance list separately from that of the key-value service.
	listTraffic Traffic
}

// start starts the stand-in and the proxy, writes the member records and the first sheet, and returns the address of
// the proxy.
func (p *costPlatform) start(ctx context.Context, c *Cost) (string, error) {
	server := platform.New()
	server.Instances, server.InstanceLag = p.instances, 0
	bound := make(chan string, 1)
	server.Ready = func(address string) { bound <- address }
	failed := make(chan error, 1)
	c.group.Go(func() { failed <- server.Run(ctx) })
	select {
	case p.standInAddress = <-bound:
	case err := <-failed:
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		p.listTraffic.received.Add(proxy(w, r, p.standInAddress))
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { _ = proxy(w, r, p.standInAddress) })
	if err := p.registerPeers(ctx); err != nil {
		return "", err
	}
	if err := p.applySheet(ctx, c, 1); err != nil {
		return "", err
	}
	return c.fakes.serve(ctx, "127.0.0.1:0", &c.traffic.platform, mux)
}

func (p *costPlatform) client() *keyvalue.Client {
	return &keyvalue.Client{Address: p.standInAddress, HTTP: keyvalue.NewHTTPClient()}
}

// registerPeers writes the member records of the peers. The fakes do not renew them, because a renewal does not trigger
// a watch and so costs the measured daemon nothing.
func (p *costPlatform) registerPeers(ctx context.Context) error {
	store := p.client().Store()
	for i, address := range p.peers.addresses {
		value, err := json.Marshal(map[string]string{
			"address": address, "incarnation": peerIncarnation, "place": placeName(i % 4),
		})
		if err != nil {
			return err
		}
		if _, err := store.Put(ctx, "members/"+address, value, kv.Revision{}, kv.Lease{}); err != nil {
			return err
		}
	}
	return nil
}

// applySheet writes a generated sheet with the given sheet number to the key-value service.
func (p *costPlatform) applySheet(ctx context.Context, c *Cost, number int) error {
	fields, faults := config.Parse(stringReader(GenerateSheet(number, c.Places, c.Models, c.Workspaces)))
	if len(faults) > 0 {
		return faults
	}
	writer := config.Writer{KV: p.client().Store(), InForce: p.peers.store.Current, NewID: uuid.NewString}
	applied, err := writer.Apply(ctx, fields, nil)
	if err == nil {
		_, err = p.peers.store.Offer(applied.Document())
	}
	return err
}
