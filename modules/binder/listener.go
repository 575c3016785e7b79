package binder

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
)

// maxReopenDelay bounds the delay before a listener that fails again and again is opened once more. A listener that worked for as long as
// steadyTime counts as recovered.
const (
	maxReopenDelay = 5 * time.Second
	steadyTime     = 10 * time.Second
)

// KeepServing calls serve with the listener, and again with a new one if serve returns before ctx ends. It opens the first listener itself
// if that is nil. It returns nil when ctx ends, and an ErrUnavailable if only other settings can help.
func KeepServing(ctx context.Context, c Config, listener net.Listener, serve func(net.Listener) error) error {
	delay := retryInterval
	for {
		if listener == nil {
			var err error
			if listener, err = ListenTCP(ctx, c); ctx.Err() != nil {
				if err == nil {
					_ = listener.Close()
				}
				return nil
			} else if err != nil {
				return err
			}
		}
		began := time.Now()
		err := serve(listener)
		_ = listener.Close() // serve may have closed it
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(began) >= steadyTime {
			delay = retryInterval
		}
		c.Logger.Warn("listener failed: opening it again", zap.Stringer("address", c.Bind), zap.String("key", c.Key), zap.Duration("delay", delay), zap.Error(err))
		listener = nil
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxReopenDelay)
	}
}
