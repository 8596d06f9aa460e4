package daemon

import (
	"github.com/sirupsen/logrus"

	"radishhollow/core/transfer"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

const (
	// bulkBytes is the size from which a response takes a noticeable time on a narrow link, so that it is logged.
	bulkBytes = 64 << 10
	// partialBytes is the size from which the received part of a failed response is logged.
	partialBytes = 4 << 10
)

// transferLogger counts the transfers of configurations and lists by their source, and logs the large ones and those that
// ended midway.
type transferLogger struct {
	metrics *telemetry.Metrics
	log     *logrus.Logger
}

// fromStore records a call to the platform's store, fromReader one to a reader of the store, and fromPeer the fetch of a
// configuration.
func (l transferLogger) fromStore(kind, address string, t *transfer.Transfer, err error) {
	l.record("store", kind, address, t, err)
}

func (l transferLogger) fromReader(prefix, address string, t *transfer.Transfer, err error) {
	l.record("reader", prefix, address, t, err)
}

func (l transferLogger) fromPeer(address string, t *transfer.Transfer, err error) {
	l.record("peer", platform.ConfigKey, address, t, err)
}

func (l transferLogger) record(source, what, address string, t *transfer.Transfer, err error) {
	class := source + "-ok"
	if err != nil {
		class = source + "-failed"
	}
	l.metrics.Count(telemetry.Transfers, class)
	l.metrics.Add(telemetry.TransferBytes, class, t.Bytes())
	if t.Bytes() < bulkBytes && (err == nil || t.Bytes() < partialBytes) {
		return
	}
	entry := l.log.WithFields(logrus.Fields{
		"source": source, "what": what, "address": address, "bytes": t.Bytes(), "ms": t.Duration().Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Warn("transfer failed")
		return
	}
	entry.Info("transfer complete")
}
