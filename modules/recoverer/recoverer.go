// Package recoverer contains panics at the boundaries where a daemon handles one packet, message or document from outside, so that an
// input with which the code cannot cope is dropped instead of ending the process.
//
// The Go runtime ends the process without a panic that could be recovered for concurrent access to a map, an exhausted stack, exhausted
// memory and a deadlock of all goroutines. Against these only locks and limits help: decoders bound the nesting, the number of elements
// and the size of what they accept. A panic in another goroutine than that of the boundary is not contained either.
package recoverer

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

const (
	// logInterval is the shortest time between two log lines about panics at one boundary.
	logInterval = 10 * time.Second
	// maxStack and maxValue bound the stack and the value of a panic in a log line, in bytes.
	maxStack = 3000
	maxValue = 300
)

// Config holds the dependencies of a Recoverer.
type Config struct {
	Logger *zap.Logger
	Meter  metric.Meter
}

// Recoverer contains panics, counts them by boundary and logs their stacks. It is safe for concurrent use. A nil Recoverer contains nothing.
type Recoverer struct {
	logger *zap.Logger

	mu         sync.Mutex
	boundaries map[string]*boundary
}

// boundary is what happened at one boundary.
type boundary struct {
	panics   int64
	loggedAt time.Time
}

// New returns a Recoverer.
func New(c Config) (*Recoverer, error) {
	r := &Recoverer{logger: c.Logger, boundaries: map[string]*boundary{}}
	_, err := c.Meter.Int64ObservableCounter("bluebelldyke.panics", metric.WithDescription("inputs dropped because of a panic, by boundary"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			for name, b := range r.boundaries {
				o.Observe(b.panics, metric.WithAttributes(attribute.String("boundary", name)))
			}
			return nil
		}))
	return r, eris.Wrap(err, "metric panics")
}

// Do calls handle for an input of the given size in bytes, and reports whether it returned without a panic. Locks that handle takes must be
// released by deferred calls.
func (r *Recoverer) Do(name string, size int, handle func()) (ok bool) {
	defer func() {
		if r.Contain(recover(), name, size) {
			ok = false
		}
	}()
	handle()
	return true
}

// Contain records a panic with the value that recover has returned in a deferred call, and reports whether there was one.
func (r *Recoverer) Contain(value any, name string, size int) bool {
	if value == nil {
		return false
	}
	if r == nil {
		panic(value)
	}
	r.mu.Lock()
	b := r.boundaries[name]
	if b == nil {
		b = &boundary{}
		r.boundaries[name] = b
	}
	b.panics++
	n, now := b.panics, time.Now()
	due := b.loggedAt.IsZero() || now.Sub(b.loggedAt) >= logInterval
	if due {
		b.loggedAt = now
	}
	r.mu.Unlock()
	if due {
		stack, text := debug.Stack(), fmt.Sprint(value)
		r.logger.Error("input dropped because of a panic: report the stack to the developers", zap.String("boundary", name), zap.Int("bytes", size),
			zap.String("panic", text[:min(len(text), maxValue)]), zap.Int64("panics", n), zap.ByteString("stack", stack[:min(len(stack), maxStack)]))
	}
	return true
}

// Panics returns the number of panics at a boundary.
func (r *Recoverer) Panics(name string) int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.boundaries[name]; b != nil {
		return b.panics
	}
	return 0
}
