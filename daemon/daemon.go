// Package daemon assembles a daemon from its components and supervises them.
package daemon

import (
	"context"
	"encoding/hex"
	"net"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

// unboundedStopTimeout is the stop timeout for a drain without a time limit, which ends when every request is complete.
const unboundedStopTimeout = 365 * 24 * time.Hour

// Identity identifies this daemon. It also holds the keys for its cursors.
type Identity struct {
	address     string
	incarnation string
	place       string
	cursorKeys  [][]byte
}

// Address returns the peer address under which the daemon is registered.
func (i Identity) Address() string { return i.address }

// Incarnation returns the Unix time of the daemon's start in nanoseconds, in decimal. A daemon that starts later at the
// same address has a higher incarnation.
func (i Identity) Incarnation() string { return i.incarnation }

func newIdentity(s settings.Settings) (Identity, error) {
	id := Identity{
		address:     s.PeerListen,
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 10),
		place:       s.Place,
	}
	var err error
	id.cursorKeys, err = decodeKeys("cursor-keys", s.CursorKeys)
	return id, err
}

func decodeKeys(setting string, hexKeys []string) ([][]byte, error) {
	var keys [][]byte
	for _, hexKey := range hexKeys {
		key, err := hex.DecodeString(hexKey)
		if err != nil {
			return nil, KeyError{Setting: setting, Cause: err}
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// New returns the fx application of one daemon. The constructors of all components run before the first start hook.
// Start opens the internal listeners, then the listener for callers, and starts the supervisors last. Stop ends the
// duties first, so that other daemons take over. The listener for callers then drains until every request in flight is
// complete or the drain timeout expires, while the daemon still follows the configuration and the endpoints. The
// internal listeners close next, then the remaining components end and the clients close. The options are applied after
// the daemon's own and may decorate its components.
func New(s settings.Settings, log *logrus.Logger, options ...fx.Option) *fx.App {
	// In its debug mode, gin writes each route to the standard output, and waits while nothing reads that.
	gin.SetMode(gin.ReleaseMode)
	stopTimeout := s.Timeouts.Drain.Duration
	if stopTimeout == 0 {
		stopTimeout = unboundedStopTimeout
	}
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		// The stop timeout covers all stop hooks together. shutdownTimeout is the part for the hooks other than the
		// drain.
		fx.StopTimeout(stopTimeout+s.Timeouts.DrainDelay.Duration+shutdownTimeout),
		fx.Supply(s, log),
		fx.Provide(newIdentity, telemetry.New, newConfigStore, newFreshness, newRevisionLogger, newDrain, newTable, newLimiter, newConnLimiter),
		peerProviders,
		fx.Provide(newSupervisorRunners),
		fx.Invoke(stopKnowledge),
		interfaceOptions(s),
		fx.Options(options...),
		fx.Invoke(runSupervisors),
	)
}

// interfaceOptions returns the options for the interface that the settings select.
func interfaceOptions(s settings.Settings) fx.Option {
	if s.Interface == settings.InterfaceForward {
		return fx.Options(forwardProviders, fx.Invoke(registerForwardListeners))
	}
	return fx.Options(
		platformProviders, configProviders, policyProviders, endpointProviders, callerProviders, controlProviders,
		fx.Provide(newSupervisors), fx.Invoke(registerListeners),
	)
}

// Run starts a daemon, serves until ctx ends, the process receives SIGINT or SIGTERM, or a component fails, and then
// drains. It calls ready once all listeners serve. It returns an EndedError if a component failed. If ctx
// ends during the start, Run completes the start and drains, because requests may have arrived on the open listeners. Run
// itself handles the signals only after the start.
func Run(
	ctx context.Context, s settings.Settings, log *logrus.Logger, ready func(), options ...fx.Option,
) error {
	var drain *Drain
	app := New(s, log, append(options, fx.Populate(&drain))...)
	if err := app.Err(); err != nil {
		return err
	}
	defer context.AfterFunc(ctx, drain.recordSignal)()
	startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	ready()
	var failed error
	select {
	case <-ctx.Done():
	case signal := <-app.Wait():
		// fx reports SIGINT and SIGTERM with exit code 0. Another exit code comes from supervisorRunner.
		if signal.ExitCode != 0 {
			failed = EndedError{ExitCode: signal.ExitCode}
		}
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return err
	}
	return failed
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, ListenError{Address: address, Cause: err}
	}
	return listener, nil
}
