// Package binder binds addresses. While another process holds an address, such as a predecessor that drains, it waits and takes the
// address as soon as it is free.
package binder

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// retryInterval is the interval of the attempts to bind an address that is held.
	retryInterval = 50 * time.Millisecond
	// firstRepeat and lastRepeat bound the interval of the warnings about an address that is held, which doubles each time.
	firstRepeat = time.Second
	lastRepeat  = time.Minute
)

// Config names an address of the settings.
type Config struct {
	Bind netip.AddrPort
	// Network is that of package net, such as "tcp4".
	Network string
	// Key is that of the address in the settings.
	Key    string
	Logger *zap.Logger
}

// ErrUnavailable is the error of an address that cannot be bound.
type ErrUnavailable struct {
	Network string
	Bind    netip.AddrPort
	Key     string
	Cause   error
}

// IsErrUnavailable reports whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	var unavailable *ErrUnavailable
	return eris.As(err, &unavailable)
}

// Error names the address and the remedy.
func (e *ErrUnavailable) Error() string {
	return "listen on " + e.Network + " " + e.Bind.String() + ": " + e.reason() + ": " + e.remedy()
}

// Unwrap returns the error of the system.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }

func (e *ErrUnavailable) reason() string {
	var errno syscall.Errno
	if eris.As(e.Cause, &errno) {
		return errno.Error()
	}
	return e.Cause.Error()
}

func (e *ErrUnavailable) remedy() string {
	switch {
	case eris.Is(e.Cause, syscall.EADDRINUSE):
		return "end the process that uses it or change " + e.Key
	case eris.Is(e.Cause, syscall.EADDRNOTAVAIL):
		return "bring up the interface with this address or correct " + e.Key
	case eris.Is(e.Cause, syscall.EACCES):
		return "use a port from 1024 in " + e.Key
	case isShortage(e.Cause):
		return "raise the limit of open files or of memory"
	default:
		return "correct " + e.Key
	}
}

// isShortage reports whether the process or the VM lacks descriptors or memory.
func isShortage(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if eris.Is(err, errno) {
			return true
		}
	}
	return false
}

// canPass reports whether the cause may go away without a change of the settings.
func canPass(err error) bool {
	return eris.Is(err, syscall.EADDRINUSE) || eris.Is(err, syscall.EADDRNOTAVAIL) || isShortage(err)
}

// Bind calls bind until it succeeds. It returns an ErrUnavailable if only other settings can help, and the cause of ctx when ctx ends.
func Bind[T any](ctx context.Context, c Config, bind func() (T, error)) (T, error) {
	var none T
	var began, nextWarning time.Time
	repeat := firstRepeat
	for {
		if ctx.Err() != nil {
			return none, context.Cause(ctx)
		}
		bound, err := bind()
		now := time.Now()
		if err == nil {
			if !began.IsZero() {
				c.Logger.Info("address is free: bound", zap.Stringer("address", c.Bind), zap.String("key", c.Key), zap.Duration("waited", now.Sub(began)))
			}
			return bound, nil
		}
		unavailable := &ErrUnavailable{Network: c.Network, Bind: c.Bind, Key: c.Key, Cause: err}
		if !canPass(err) {
			return none, unavailable
		}
		if began.IsZero() {
			began = now
		}
		if !now.Before(nextWarning) {
			c.Logger.Warn("address not available: waiting for it", zap.Error(unavailable), zap.Duration("waited", now.Sub(began)))
			nextWarning = now.Add(repeat)
			repeat = min(2*repeat, lastRepeat)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// ListenTCP listens on a TCP address.
func ListenTCP(ctx context.Context, c Config) (net.Listener, error) {
	return Bind(ctx, c, func() (net.Listener, error) { return net.Listen(c.Network, c.Bind.String()) })
}

// ListenUDP opens a UDP socket.
func ListenUDP(ctx context.Context, c Config) (*net.UDPConn, error) {
	return Bind(ctx, c, func() (*net.UDPConn, error) { return net.ListenUDP(c.Network, net.UDPAddrFromAddrPort(c.Bind)) })
}
