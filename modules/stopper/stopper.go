// Package stopper handles the signals of a daemon: SIGHUP reloads its settings, the first SIGTERM or SIGINT starts a graceful shutdown, a
// second SIGINT ends the process at once. Further ones do not shorten the shutdown.
package stopper

import (
	"context"
	"os"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// ErrSignal is the cause of the contexts of a Stopper.
type ErrSignal struct{ Signal os.Signal }

// Error names the signal.
func (e *ErrSignal) Error() string { return e.Signal.String() + " signal received" }

// IsErrSignal reports whether err is an ErrSignal.
func IsErrSignal(err error) bool {
	var e *ErrSignal
	return eris.As(err, &e)
}

// Stopper handles the signals of a daemon.
type Stopper struct {
	signals       <-chan os.Signal
	stop, abort   context.Context
	cancelStop    context.CancelCauseFunc
	cancelAbort   context.CancelCauseFunc
	mu            sync.Mutex
	logger        *zap.Logger
	reload        func()
	pendingReload bool
	interrupted   bool
}

// New returns a Stopper. Its contexts also end with ctx.
func New(ctx context.Context, signals <-chan os.Signal) *Stopper {
	s := &Stopper{signals: signals, logger: zap.NewNop()}
	s.abort, s.cancelAbort = context.WithCancelCause(context.WithoutCancel(ctx))
	s.stop, s.cancelStop = context.WithCancelCause(ctx)
	return s
}

// Stopping returns a context that ends when a graceful shutdown is asked for.
func (s *Stopper) Stopping() context.Context { return s.stop }

// Aborting returns a context that ends when the shutdown has to end at once.
func (s *Stopper) Aborting() context.Context { return s.abort }

// SetLogger sets the logger of received signals.
func (s *Stopper) SetLogger(logger *zap.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logger = logger
}

// OnReload sets what SIGHUP does. If one has been received before, it is called at once.
func (s *Stopper) OnReload(reload func()) {
	s.mu.Lock()
	pending := s.pendingReload
	s.reload, s.pendingReload = reload, false
	s.mu.Unlock()
	if pending {
		reload()
	}
}

// Run handles signals until ctx ends.
func (s *Stopper) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case received := <-s.signals:
			s.handle(received)
		}
	}
}

func (s *Stopper) handle(received os.Signal) {
	s.mu.Lock()
	logger, reload := s.logger, s.reload
	repeated := s.stop.Err() != nil
	switch {
	case received == syscall.SIGHUP:
		s.pendingReload = reload == nil
	case received == syscall.SIGINT && s.interrupted:
		s.cancelAbort(&ErrSignal{received})
	case received == syscall.SIGINT:
		s.interrupted = true
	}
	s.mu.Unlock()
	switch {
	case received == syscall.SIGHUP && reload != nil:
		reload()
	case received == syscall.SIGHUP:
	case repeated:
		logger.Warn("stop signal repeated: the shutdown goes on; a second SIGINT ends the process at once", zap.Stringer("signal", received))
	default:
		s.cancelStop(&ErrSignal{received})
	}
}
