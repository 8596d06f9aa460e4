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
	"radishhollow/core/route"
	"radishhollow/daemon"
	"radishhollow/io/keyvalue"
	"radishhollow/io/settings"
	standin "radishhollow/standin/platform"
)

// CostSizes are the sizes of a deployment and the rates of its changes.
type CostSizes struct {
	Daemons    int `json:"daemons"`
	Endpoints  int `json:"endpoints"`
	Models     int `json:"models"`
	Places     int `json:"places"`
	Workspaces int `json:"workspaces"`
	// ChangesPerMinute is the rate of new revisions.
	ChangesPerMinute float64 `json:"changes-per-minute"`
	// ListChangesPerMinute is the rate of changes of the instance list.
	ListChangesPerMinute float64 `json:"list-changes-per-minute"`
	// Marks is the number of endpoint marks that each peer shows.
	Marks int `json:"marks"`
	// Streams is the number of streams that the daemon carries, each with a token every 67 ms. They need real
	// stand-ins as endpoints, so it goes with few endpoints.
	Streams int     `json:"streams"`
	Seed    uint64  `json:"seed"`
	SettleSeconds  float64 `json:"settle-s"`
	MeasureSeconds float64 `json:"measure-s"`
}

// Cost measures what the control of one daemon costs without callers' traffic. All other daemons and the endpoints are
// fakes in this process. Exported fields are set before Run.
type Cost struct {
	CostSizes

	// SettingsFile gets the settings of the daemon under measurement, which is started by hand with `serve`. Where it
	// is empty, the daemon runs in this process and the figures include the fakes.
	SettingsFile string
	// OnReadyToStart is called once the daemon can be started; it may be nil.
	OnReadyToStart func()

	settings settings.Settings
	rows     []route.Listing
	peers    *fakePeer
	fakes    fakes
	group    sync.WaitGroup
	platform *costPlatform
	failed   atomic.Int64
	traffic  struct{ peers, endpoints, platform Traffic }
}

// CostResult is the daemon's cost per second.
type CostResult struct {
	Experiment string `json:"experiment"`
	CostSizes
	// Separate tells that the daemon ran as a process of its own.
	Separate bool `json:"separate-process"`
	// CorePercent is the processor time in percent of one core.
	CorePercent float64 `json:"core-percent"`
	ResidentMB  float64 `json:"resident-mb"`
	HeapMB      float64 `json:"heap-mb"`
	// Bytes are bytes per second with all headers by partner and direction, as the daemon sees it.
	Bytes map[string]float64 `json:"bytes-per-s"`
	// Calls are calls per second by kind.
	Calls map[string]float64 `json:"calls-per-s"`
	// Polled is the number of endpoints in the daemon's subsets.
	Polled int `json:"polled-endpoints"`
	// Tokens are the chunks a second that the daemon has passed on; each has one token at this rate.
	Tokens float64 `json:"tokens-per-s"`
	// FailedStreams are streams that ended with an error.
	FailedStreams int64 `json:"failed-streams"`
}

// Run starts the fakes, waits for the daemon and measures it.
func (c *Cost) Run(ctx context.Context) (CostResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.group.Wait()
	defer c.fakes.close()
	defer cancel()
	if err := c.prepare(ctx); err != nil {
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
	pause(ctx, c.SettleSeconds)
	before, err := c.sample(ctx)
	if err != nil {
		return CostResult{}, err
	}
	pause(ctx, c.MeasureSeconds)
	after, err := c.sample(ctx)
	return c.result(before, after), err
}

// prepare starts the platform, the peers and those endpoints that the daemon's subsets hold.
func (c *Cost) prepare(ctx context.Context) error {
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
	// One free port serves on all fakes' addresses, so that runs at the same time do not meet.
	free, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	port := netip.MustParseAddrPort(free).Port()
	c.rows = listings(c.Endpoints, c.Models, c.Places, port)
	if c.Streams > 0 {
		if err := c.startEngines(ctx); err != nil {
			return err
		}
	}
	c.peers = &fakePeer{workspaces: c.Workspaces, marks: c.Marks, store: &config.Store{}, random: newSource(c.Seed)}
	for i := range c.Daemons - 1 {
		c.peers.addresses = append(c.peers.addresses, fakeAddress(peerBlock, i, port))
	}
	c.platform = &costPlatform{peers: c.peers, rows: rowsOf(c.rows)}
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
		handler := rpcHandler(c.peers.at(i))
		if _, err := c.fakes.serve(ctx, address, &c.traffic.peers, handler); err != nil {
			return err
		}
	}
	for _, target := range c.targets() {
		if c.Streams > 0 && target.Kind == route.KindModel {
			continue
		}
		if _, err := c.fakes.serve(ctx, target.Address, &c.traffic.endpoints, fakeEndpoint(target)); err != nil {
			return err
		}
	}
	return nil
}

// targets returns the endpoints that the daemon polls, which its address and the list decide.
func (c *Cost) targets() []route.Listing {
	policy := route.DefaultPolicy()
	policy.SubsetSize = c.settings.Limits.SubsetSize
	table := route.New(c.settings.PeerListen, policy)
	table.Sync(c.rows)
	polled := map[string]bool{}
	for _, target := range table.PollTargets() {
		polled[target.Address()] = true
	}
	var list []route.Listing
	for _, row := range c.rows {
		if polled[row.Address] {
			list = append(list, row)
		}
	}
	return list
}

// startDaemon runs the daemon here, or writes its settings for one that is started by hand.
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
	for !d.ready(ctx) {
		if ctx.Err() != nil {
			return NotReadyError{Daemon: d.Address()}
		}
		time.Sleep(pollPause)
	}
	return nil
}

// costPlatform is the stand-in's key-value service with a generated instance list.
type costPlatform struct {
	peers *fakePeer
	rows  []Instance
	store string
	// list counts the instance list apart from the key-value service.
	list Traffic
}

func (p *costPlatform) start(ctx context.Context, c *Cost) (string, error) {
	server := standin.New()
	server.Instances, server.InstanceLag = p.rows, 0
	bound := make(chan string, 1)
	server.Ready = func(address string) { bound <- address }
	failed := make(chan error, 1)
	c.group.Go(func() { failed <- server.Run(ctx) })
	select {
	case p.store = <-bound:
	case err := <-failed:
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		p.list.received.Add(forward(w, r, p.store))
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { _ = forward(w, r, p.store) })
	if err := p.register(ctx); err != nil {
		return "", err
	}
	if err := p.apply(ctx, c, 1); err != nil {
		return "", err
	}
	return c.fakes.serve(ctx, "127.0.0.1:0", &c.traffic.platform, mux)
}

func (p *costPlatform) client() *keyvalue.Client {
	return &keyvalue.Client{Address: p.store, HTTP: keyvalue.NewHTTPClient()}
}

// register lists the peers. Their own renewals wake no watch, so the fakes make none.
func (p *costPlatform) register(ctx context.Context) error {
	store := p.client().Store()
	for i, address := range p.peers.addresses {
		value, err := json.Marshal(map[string]string{
			"address": address, "incarnation": peerIncarnation, "place": placeName(i % 4),
		})
		if err != nil {
			return err
		}
		if _, err := store.Put(ctx, "members/"+address, value, 0, ""); err != nil {
			return err
		}
	}
	return nil
}

// apply writes a sheet with the given number to the key-value service.
func (p *costPlatform) apply(ctx context.Context, c *Cost, number int) error {
	fields, faults := config.Parse(stringReader(Sheet(number, c.Places, c.Models, c.Workspaces)))
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
