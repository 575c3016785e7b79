package follower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
)

// callKind is a kind of call to the platform.
type callKind int

const (
	callListing callKind = iota
	callWatch
	callCheck
	callKinds
)

var callNames = [callKinds]string{"listing", "watch", "check"}

// calls count calls to the platform and tell whether it answers.
type calls struct {
	answered, failed [callKinds]atomic.Uint64
	lost             [callKinds]atomic.Bool
}

// called counts a call and writes a line when the platform was lost or regained for its kind. Absent documents and a lost
// history are answers.
func (f *Follower) called(kind callKind, err error) {
	if err == nil || IsErrHistoryLost(err) || fetcher.IsErrNotFound(err) {
		f.calls.answered[kind].Add(1)
		if f.calls.lost[kind].CompareAndSwap(true, false) {
			f.c.Logger.Info("platform regained", zap.String("call", callNames[kind]))
		}
		return
	}
	f.calls.failed[kind].Add(1)
	if f.calls.lost[kind].CompareAndSwap(false, true) {
		f.c.Logger.Warn("platform lost: what is in force stays, peers are asked", zap.String("call", callNames[kind]), zap.String("reason", err.Error()))
	}
}

// summarize writes the calls of this process by kind when it stops.
func (f *Follower) summarize() {
	fields := make([]zap.Field, 0, 2*callKinds)
	for kind := range callKinds {
		fields = append(fields,
			zap.Uint64(callNames[kind]+"-answered", f.calls.answered[kind].Load()), zap.Uint64(callNames[kind]+"-failed", f.calls.failed[kind].Load()))
	}
	f.c.Logger.Info("calls to the platform", fields...)
}

// took learns how long a read of the list takes.
func (f *Follower) took(d time.Duration, err error) {
	if err == nil {
		f.mu.Lock()
		f.listingPace.ReadDuration, f.configPace.ReadDuration = d, d
		f.mu.Unlock()
	}
}

// Register makes the counters and ages of the follower visible.
func (f *Follower) Register(m metric.Meter) error {
	count, err := m.Int64ObservableCounter("bluebelldyke.direct.platform-calls", metric.WithDescription("calls to the platform by kind and outcome"))
	if err != nil {
		return eris.Wrap(err, "metric direct.platform-calls")
	}
	age, err := m.Float64ObservableGauge("bluebelldyke.direct.view-age", metric.WithUnit("s"), metric.WithDescription("age of the belief in the list and in the configuration"))
	if err != nil {
		return eris.Wrap(err, "metric direct.view-age")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for kind := range callKinds {
			name := attribute.String("kind", callNames[kind])
			o.ObserveInt64(count, int64(f.calls.answered[kind].Load()), metric.WithAttributes(name, attribute.String("outcome", "answered")))
			o.ObserveInt64(count, int64(f.calls.failed[kind].Load()), metric.WithAttributes(name, attribute.String("outcome", "failed")))
		}
		for d, name := range documentNames {
			o.ObserveFloat64(age, f.ages.age(document(d)).Seconds(), metric.WithAttributes(attribute.String("view", name)))
		}
		return nil
	}, count, age)
	return eris.Wrap(err, "metrics of the follower")
}
