package cmd

import (
	"context"
	"os"
	"reflect"

	"github.com/sirupsen/logrus"

	"radishhollow/io/settings"
)

// settingsReloader reads the settings file again on each signal (SIGHUP). It sets the log level itself and passes the
// settings to the daemon, which applies the peer keys. All other settings take effect at the next start. If the file is
// invalid, the settings in effect stay.
type settingsReloader struct {
	path string
	// current holds the settings that are in effect, so that restart-needed stays true until the restart.
	current settings.Settings
	log     *logrus.Logger
	signals <-chan os.Signal
	// reloads passes the settings to the daemon. Its buffer holds one value, which a newer one replaces.
	reloads chan settings.Settings
}

func (r *settingsReloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
			r.reload()
		}
	}
}

func (r *settingsReloader) reload() {
	s, err := settings.Load(r.path)
	if err != nil {
		r.log.WithError(err).Warn("settings are invalid; keeping the previous settings")
		return
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err == nil {
		r.log.SetLevel(level)
	}
	r.log.WithFields(logrus.Fields{
		"level": s.LogLevel, "restart-needed": !reflect.DeepEqual(withoutReloadable(s), withoutReloadable(r.current)),
	}).Info("settings read again")
	r.current.LogLevel, r.current.PeerKeys = s.LogLevel, s.PeerKeys
	select {
	case <-r.reloads:
	default:
	}
	r.reloads <- s
}

// withoutReloadable returns s without the settings that take effect without a restart.
func withoutReloadable(s settings.Settings) settings.Settings {
	s.LogLevel, s.PeerKeys = "", nil
	return s
}
