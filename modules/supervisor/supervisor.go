// Package supervisor runs the components of a daemon, so that the error of one does not end the daemon: a component that returns an error is
// counted, logged and started again. After a panic, a component without state is started again, too; that of another ends the daemon with
// its stack as the cause.
package supervisor

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
	"golang.org/x/sync/errgroup"
)

const (
	// firstDelay and lastDelay bound the delay before a component is started again, which doubles with each failure. A component that ran
	// for steadyTime counts as recovered.
	firstDelay = 10 * time.Millisecond
	lastDelay  = 5 * time.Second
	steadyTime = 10 * time.Second
	// panicWait is how long the other goroutines of a component have to end after a panic. They may wait for a lock that it has left locked.
	panicWait = 200 * time.Millisecond
)

// ErrPanic is a panic of a component.
type ErrPanic struct {
	Component string
	Value     any
	Stack     []byte
}

// Error states the component and the value of the panic.
func (e *ErrPanic) Error() string {
	return fmt.Sprintf("component %s: panic: %v", e.Component, e.Value)
}

// IsErrPanic reports whether err is an ErrPanic.
func IsErrPanic(err error) bool {
	var e *ErrPanic
	return eris.As(err, &e)
}

// Config holds the dependencies of a Supervisor.
type Config struct {
	Logger *zap.Logger
	Meter  metric.Meter
}

// Component is a part of a daemon.
type Component struct {
	Name string
	// Run runs the component until ctx ends. It can be called again after it has returned.
	Run func(ctx context.Context) error
	// Stateless means that the component can be started again after a panic.
	Stateless bool
}

// Supervisor runs components. It is safe for concurrent use.
type Supervisor struct {
	logger   *zap.Logger
	mu       sync.Mutex
	failures map[string]int64
}

// New returns a Supervisor.
func New(c Config) (*Supervisor, error) {
	s := &Supervisor{logger: c.Logger, failures: map[string]int64{}}
	_, err := c.Meter.Int64ObservableCounter("bluebelldyke.component.failures", metric.WithDescription("errors and panics that ended a component, by component"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			for name, n := range s.failures {
				o.Observe(n, metric.WithAttributes(attribute.String("component", name)))
			}
			return nil
		}))
	return s, eris.Wrap(err, "metric component.failures")
}

// Failures returns how often a component has failed.
func (s *Supervisor) Failures(component string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures[component]
}

// Run runs a component until ctx ends or it returns without an error. It returns an ErrPanic if the component cannot be started again.
func (s *Supervisor) Run(ctx context.Context, c Component) error {
	delay := firstDelay
	for {
		began := time.Now()
		err, ended := attempt(ctx, c)
		if err == nil || (ctx.Err() != nil && !IsErrPanic(err)) {
			return nil
		}
		s.mu.Lock()
		s.failures[c.Name]++
		s.mu.Unlock()
		if IsErrPanic(err) && (!c.Stateless || !ended) {
			return err
		}
		if time.Since(began) >= steadyTime {
			delay = firstDelay
		}
		s.logger.Error("component failed: starting it again", zap.String("component", c.Name), zap.Duration("delay", delay), zap.Error(err))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(delay):
		}
		delay = min(2*delay, lastDelay)
	}
}

// attempt runs the component once. After a panic it returns at once, with ended false if other goroutines of the component do not end.
func attempt(ctx context.Context, c Component) (err error, ended bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	panics, done := make(chan *ErrPanic, 1), make(chan error, 1)
	report := func(p *ErrPanic) {
		p.Component = c.Name
		select {
		case panics <- p:
		default: // the first one is the cause
		}
	}
	ctx = context.WithValue(ctx, reportKey{}, report)
	var group errgroup.Group
	group.Go(func() error {
		done <- Guard(ctx, func() error { return c.Run(ctx) })()
		return nil
	})
	select {
	case err = <-done:
		select {
		case p := <-panics:
			err = p
		default:
		}
		return err, true
	case p := <-panics:
		cancel()
		select {
		case <-done:
			return p, true
		case <-time.After(panicWait):
			return p, false
		}
	}
}

// reportKey is the key of the function that Guard reports panics to.
type reportKey struct{}

// Guard returns a function that calls run and, if a Supervisor runs the component, reports a panic to it. It is used for each goroutine of
// a component.
func Guard(ctx context.Context, run func() error) func() error {
	report, ok := ctx.Value(reportKey{}).(func(*ErrPanic))
	if !ok {
		return run
	}
	return func() (err error) {
		defer func() {
			if v := recover(); v != nil {
				p := &ErrPanic{Value: v, Stack: debug.Stack()}
				report(p)
				err = p
			}
		}()
		return run()
	}
}
