// Package catcher contains the panics of pieces of work that are independent of each other, such as the handling of one datagram,
// connection or document. Each panic is counted and logged, and the daemon goes on with the next piece.
package catcher

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// logInterval is the shortest time between two log lines about the same kind of work.
const logInterval = 10 * time.Second

// ErrPanic is returned for a piece of work that panicked.
var ErrPanic = eris.New("internal error: report the log line \"work failed\", which has the stack, and the input that caused it")

// IsErrPanic reports whether err is an ErrPanic.
func IsErrPanic(err error) bool { return eris.Is(err, ErrPanic) }

// Config configures a Catcher. Both fields are optional.
type Config struct {
	Logger *zap.Logger
	// Meter is where the number of panics is registered as a metric.
	Meter metric.Meter
}

// Catcher runs pieces of work and contains their panics. It is safe for concurrent use. A nil Catcher contains panics without a record.
type Catcher struct {
	logger *zap.Logger

	mu    sync.Mutex
	kinds map[string]*record
}

// record is what is known about the panics of one kind of work.
type record struct {
	count, unlogged uint64
	loggedAt        time.Time
}

// New returns a Catcher.
func New(c Config) (*Catcher, error) {
	caught := &Catcher{logger: c.Logger, kinds: map[string]*record{}}
	if caught.logger == nil {
		caught.logger = zap.NewNop()
	}
	if c.Meter == nil {
		return caught, nil
	}
	_, err := c.Meter.Int64ObservableCounter("bluebelldyke.panics", metric.WithDescription("panics that were contained, by kind of work"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for kind, n := range caught.Counts() {
				o.Observe(int64(n), metric.WithAttributes(attribute.String("kind", kind)))
			}
			return nil
		}))
	return caught, eris.Wrap(err, "register metric panics")
}

// Run runs one piece of work. It returns false if the work panicked. There must be few kinds.
func (c *Catcher) Run(kind string, work func()) (ok bool) {
	defer func() {
		if value := recover(); value != nil {
			c.record(time.Now(), kind, value, debug.Stack())
		}
	}()
	work()
	return true
}

// RunErr runs one piece of work and returns its error, or ErrPanic if it panicked.
func (c *Catcher) RunErr(kind string, work func() error) error {
	err := ErrPanic
	c.Run(kind, func() { err = work() })
	return err
}

// Counts returns the number of panics by kind of work.
func (c *Catcher) Counts() map[string]uint64 {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]uint64, len(c.kinds))
	for kind, r := range c.kinds {
		counts[kind] = r.count
	}
	return counts
}

// record counts a panic, and logs it unless another one of the kind was logged a short time ago.
func (c *Catcher) record(now time.Time, kind string, value any, stack []byte) {
	if c == nil {
		return
	}
	c.mu.Lock()
	r := c.kinds[kind]
	if r == nil {
		r = &record{}
		c.kinds[kind] = r
	}
	r.count++
	r.unlogged++
	if !r.loggedAt.IsZero() && now.Sub(r.loggedAt) < logInterval {
		c.mu.Unlock()
		return
	}
	count := r.unlogged
	r.loggedAt, r.unlogged = now, 0
	c.mu.Unlock()
	c.logger.Error("work failed", zap.String("kind", kind), zap.String("panic", fmt.Sprint(value)), zap.Uint64("count", count), zap.ByteString("stack", stack))
}
