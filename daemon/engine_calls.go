package daemon

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/booking"
	"radishhollow/core/route"
	"radishhollow/io/forward"
	"radishhollow/io/service"
	"radishhollow/platform"
)

// maxControlBytes is the maximum size of a load report, which lists the engine's runs, and of the other responses
// of engines that are not for callers.
const maxControlBytes = 256 << 10

// loadRefresher returns a function that queries the load of an engine that has named no limit. An engine whose query fails is marked as
// unreachable for Policy.UnreachableTTL, or as silent if it did not answer within the query's timeout. As in sendObserver,
// a query canceled by its caller is ignored, because it says nothing about the engine.
func loadRefresher(
	table *route.Table, client *service.Client, announced *announcements, log *logrus.Logger,
) func(ctx context.Context, address string) {
	return func(ctx context.Context, address string) {
		if table.IsLimited(address) {
			// The few requests that the engine takes are for callers.
			return
		}
		response, err := client.Send(ctx, address, booking.Request{
			Method: http.MethodGet, Path: platform.LoadReportPath, ReuseConnection: true, MaxResponseBytes: maxControlBytes,
			OnHead: announced.observer(address),
		})
		if errors.Is(err, context.Canceled) {
			return
		}
		if err != nil {
			log.WithField("address", address).WithError(err).Warn("engine does not report its load")
			if errors.Is(err, context.DeadlineExceeded) {
				table.SetSilent(address)
			} else {
				table.SetAddressUnreachable(address)
			}
			return
		}
		if response.Status != http.StatusOK {
			log.WithFields(logrus.Fields{"address": address, "status": response.Status}).Warn("engine refuses to report its load")
			return
		}
		load, err := platform.DecodeLoadReport(response.Body)
		if err != nil {
			log.WithField("address", address).WithError(err).Warn("load report is malformed")
			return
		}
		table.RecordQueriedLoad(address, load)
	}
}

// cachedTokens returns a function that asks an engine which part of a prompt it has in its cache. No answer counts as none.
func cachedTokens(
	table *route.Table, client *service.Client, announced *announcements, log *logrus.Logger,
) func(ctx context.Context, address, partID string) int {
	return func(ctx context.Context, address, partID string) int {
		if table.IsLimited(address) {
			// The few requests that the engine takes are for callers.
			return 0
		}
		response, err := announced.sendControl(ctx, client, address, booking.Request{
			Method: http.MethodGet, Path: platform.CachedPartsPath, ReuseConnection: true, MaxResponseBytes: maxControlBytes,
		})
		if err != nil || response.Status != http.StatusOK {
			return 0
		}
		tokens, err := platform.CachedTokens(response.Body, partID)
		if err != nil {
			log.WithField("address", address).WithError(err).Warn("list of cached parts is malformed")
		}
		return tokens
	}
}

// newKVCopiers returns a function that returns a KVCopier for each run.
func newKVCopiers(client *service.Client, announced *announcements, log *logrus.Logger) func() forward.KVCopier {
	return func() forward.KVCopier {
		dedicated := client.Dedicated()
		return forward.KVCopier{
			Copy: kvCacheCopier(dedicated, announced), Release: kvCopyReleaser(dedicated, announced, log), Close: dedicated.CloseIdleConnections,
		}
	}
}

// kvCacheCopier returns a function that copies the KV cache of a run from its engine to another one, or renews a copy.
func kvCacheCopier(
	client *service.Client, announced *announcements,
) func(ctx context.Context, address, runID, target string) (handle string, err error) {
	return func(ctx context.Context, address, runID, target string) (string, error) {
		request, err := platform.KVCopyRequest(runID, target)
		if err != nil {
			return "", errors.Trace(err)
		}
		request.MaxResponseBytes = maxControlBytes
		response, err := announced.sendControl(ctx, client, address, request)
		if err != nil {
			return "", err
		}
		return platform.KVCopyHandle(response)
	}
}

// kvCopyReleaser returns a function that releases a copy of a KV cache.
func kvCopyReleaser(
	client *service.Client, announced *announcements, log *logrus.Logger,
) func(ctx context.Context, address, handle string) {
	return func(ctx context.Context, address, handle string) {
		request := platform.KVReleaseRequest(handle)
		request.MaxResponseBytes = maxControlBytes
		if _, err := announced.sendControl(ctx, client, address, request); err != nil {
			log.WithField("address", address).WithError(err).Info("failed to release a KV cache copy; it is kept until it expires")
		}
	}
}
