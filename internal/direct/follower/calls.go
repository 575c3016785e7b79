package follower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
)

// callKind distinguishes the calls to the platform in logs and metrics.
type callKind int

const (
	callBackendList callKind = iota // read of the backend list, with the configuration if it changed
	callWatch                       // long poll of the configuration
	callCheck                       // read of the configuration alone
	callKindCount                   // number of kinds
)

// callNames are the names of the kinds in logs and metrics.
var callNames = [callKindCount]string{"listing", "watch", "check"}

// callStats counts the calls to the platform and records whether the latest one of each kind failed.
type callStats struct {
	answered, failed [callKindCount]atomic.Uint64
	unavailable      [callKindCount]atomic.Bool
	outdated         atomic.Uint64 // reads of the backend list whose answer is older than the list in force
	restores         atomic.Uint64 // restores of the platform's store that this daemon has learned of
}

// documentStats counts what the exchange of documents with peers took.
type documentStats struct {
	encoded atomic.Uint64 // encodings of a whole document
	paused  atomic.Uint64 // waits of paced documents for the link
	retried atomic.Uint64 // documents that were late, so that another peer was asked
}

// recordCall counts a call and logs when calls of its kind start to fail or succeed again. An absent document and a lost history count
// as answers.
func (f *Follower) recordCall(kind callKind, err error) {
	if err == nil || IsErrHistoryLost(err) || fetcher.IsErrNotFound(err) {
		f.calls.answered[kind].Add(1)
		if f.calls.unavailable[kind].CompareAndSwap(true, false) {
			f.c.Logger.Info("platform regained", zap.String("call", callNames[kind]))
		}
		return
	}
	f.calls.failed[kind].Add(1)
	if f.calls.unavailable[kind].CompareAndSwap(false, true) {
		f.c.Logger.Warn("platform lost: the documents in force stay, peers are asked for newer ones", zap.String("call", callNames[kind]), zap.String("reason", err.Error()))
	}
}

// recordOutdated counts a read whose answer is older than the backend list in force, and logs the first one.
func (f *Follower) recordOutdated(read, inForce directory.Position) {
	if f.calls.outdated.Add(1) == 1 {
		f.c.Logger.Warn("platform answered with an older revision than that of the backend list in force", zap.Uint64("era", read.Era),
			zap.Uint64("revision", read.Revision), zap.Uint64("era-in-force", inForce.Era), zap.Uint64("revision-in-force", inForce.Revision))
	}
}

// logCallSummary logs the number of calls of this process by kind when it stops.
func (f *Follower) logCallSummary() {
	fields := make([]zap.Field, 0, 2*callKindCount)
	for kind := range callKindCount {
		fields = append(fields,
			zap.Uint64(callNames[kind]+"-answered", f.calls.answered[kind].Load()), zap.Uint64(callNames[kind]+"-failed", f.calls.failed[kind].Load()))
	}
	f.c.Logger.Info("calls to the platform", fields...)
}

// recordReadTime passes the duration of a successful read of the backend list to the pacers.
func (f *Follower) recordReadTime(d time.Duration, err error) {
	if err == nil {
		f.mu.Lock()
		f.backendListPacer.ReadDuration, f.configurationPacer.ReadDuration = d, d
		f.mu.Unlock()
	}
}

// RegisterMetrics registers the counters of calls and the ages of the documents.
func (f *Follower) RegisterMetrics(m metric.Meter) error {
	count, err := m.Int64ObservableCounter("bluebelldyke.direct.platform-calls", metric.WithDescription("calls to the platform by kind and outcome"))
	if err != nil {
		return eris.Wrap(err, "metric direct.platform-calls")
	}
	outdated, err := m.Int64ObservableCounter("bluebelldyke.direct.outdated-reads", metric.WithDescription("reads of the platform whose answer is older than the list in force"))
	if err != nil {
		return eris.Wrap(err, "metric direct.outdated-reads")
	}
	restores, err := m.Int64ObservableCounter("bluebelldyke.direct.store-restores", metric.WithDescription("restores of the platform's store from an older copy that this daemon has learned of"))
	if err != nil {
		return eris.Wrap(err, "metric direct.store-restores")
	}
	documents, err := m.Int64ObservableCounter("bluebelldyke.direct.documents", metric.WithDescription("documents encoded for peers, waits of paced ones for the link, and late ones that another peer was asked for"))
	if err != nil {
		return eris.Wrap(err, "metric direct.documents")
	}
	age, err := m.Float64ObservableGauge("bluebelldyke.direct.view-age", metric.WithUnit("s"), metric.WithDescription("age of the belief in the list and in the configuration"))
	if err != nil {
		return eris.Wrap(err, "metric direct.view-age")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for kind := range callKindCount {
			name := attribute.String("kind", callNames[kind])
			o.ObserveInt64(count, int64(f.calls.answered[kind].Load()), metric.WithAttributes(name, attribute.String("outcome", "answered")))
			o.ObserveInt64(count, int64(f.calls.failed[kind].Load()), metric.WithAttributes(name, attribute.String("outcome", "failed")))
		}
		o.ObserveInt64(outdated, int64(f.calls.outdated.Load()))
		o.ObserveInt64(restores, int64(f.calls.restores.Load()))
		for event, n := range map[string]*atomic.Uint64{"encoded": &f.documents.encoded, "paused": &f.documents.paused, "retried": &f.documents.retried} {
			o.ObserveInt64(documents, int64(n.Load()), metric.WithAttributes(attribute.String("event", event)))
		}
		for _, v := range f.views() {
			o.ObserveFloat64(age, f.ages.age(v).Seconds(), metric.WithAttributes(attribute.String("view", viewNames[v])))
		}
		return nil
	}, count, outdated, restores, documents, age)
	return eris.Wrap(err, "metrics of the follower")
}
