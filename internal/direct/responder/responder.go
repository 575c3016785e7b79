// Package responder answers the readiness checks of the fabric.
package responder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// headerTimeout bounds the time for a request's header, so that silent connections do not pile up.
const headerTimeout = 2 * time.Second

// Config holds what a Responder is made of.
type Config struct {
	// ReadinessBind is the address of the readiness checks. It serves Page too, at /metrics.
	ReadinessBind netip.AddrPort
	// MetricsBind is a further address that serves Page only; the zero value means none.
	MetricsBind netip.AddrPort
	// MetricsPage is the metrics page; nil means none.
	MetricsPage http.Handler
	Logger      *zap.Logger
}

// Responder answers readiness checks.
type Responder struct {
	listeners []net.Listener // of the readiness checks, and of the metrics if they have an address
	servers   []*http.Server // of the listener with the same index
	ready     atomic.Bool
	refused   atomic.Uint64
}

// New binds the addresses. Every path of the readiness address but /metrics is the readiness check.
func New(c Config) (*Responder, error) {
	r := &Responder{}
	mux := http.NewServeMux()
	mux.HandleFunc("/", r.answer)
	if c.MetricsPage != nil {
		mux.Handle("GET /metrics", c.MetricsPage)
	}
	if err := r.listen("readiness.bind", c.ReadinessBind, mux, c.Logger); err != nil {
		return nil, err
	}
	if !c.MetricsBind.IsValid() || c.MetricsPage == nil {
		return r, nil
	}
	page := http.NewServeMux()
	page.Handle("GET /metrics", c.MetricsPage)
	if err := r.listen("metrics.bind", c.MetricsBind, page, c.Logger); err != nil {
		// The page is at the readiness address too, and forwarding is worth more than a second one.
		c.Logger.Warn("metrics address not served", zap.Error(err))
	}
	return r, nil
}

func (r *Responder) listen(key string, bind netip.AddrPort, handler http.Handler, logger *zap.Logger) error {
	l, err := net.Listen("tcp4", bind.String())
	if err != nil {
		return eris.Wrapf(err, "listen on TCP %s: end the process that uses it or change %s", bind, key)
	}
	r.listeners = append(r.listeners, l)
	r.servers = append(r.servers, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(logger)})
	return nil
}

// ReadinessAddress returns the bound address of the readiness checks.
func (r *Responder) ReadinessAddress() netip.AddrPort { return address(r.listeners[0]) }

// MetricsAddress returns the bound address of the metrics page: that of the readiness checks if it has none of its own.
func (r *Responder) MetricsAddress() netip.AddrPort { return address(r.listeners[len(r.listeners)-1]) }

func address(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// SetReady sets the answer to checks.
func (r *Responder) SetReady(ready bool) { r.ready.Store(ready) }

// Refusals returns how many checks were answered with "not ready".
func (r *Responder) Refusals() uint64 { return r.refused.Load() }

func (r *Responder) answer(w http.ResponseWriter, _ *http.Request) {
	if r.ready.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	r.refused.Add(1)
}

// Run answers until ctx ends.
func (r *Responder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, server := range r.servers {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		group.Go(func() error {
			if err := server.Serve(r.listeners[i]); err != nil && !eris.Is(err, http.ErrServerClosed) {
				return eris.Wrap(err, "answer readiness checks and metrics")
			}
			return nil
		})
	}
	return group.Wait()
}
