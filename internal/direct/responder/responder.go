// Package responder answers the readiness checks of the fabric and serves the metrics page.
package responder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/binder"
)

// headerTimeout limits the time for reading the header of a request, so that idle connections do not accumulate.
const headerTimeout = 2 * time.Second

// Config holds the addresses and dependencies of a Responder.
type Config struct {
	// Readiness is the listener for the readiness checks. It serves MetricsPage too, at /metrics.
	Readiness net.Listener
	// MetricsBind is a further address that serves MetricsPage only; the zero value means none.
	MetricsBind netip.AddrPort
	// MetricsPage renders the metrics; nil means that they are not served.
	MetricsPage http.Handler
	Logger      *zap.Logger
}

// Responder answers readiness checks and serves the metrics page.
type Responder struct {
	c              Config
	ready          atomic.Bool
	refusals       atomic.Uint64
	metricsAddress atomic.Pointer[netip.AddrPort]
}

// New returns a Responder. At the readiness address, every path but /metrics is a readiness check.
func New(c Config) *Responder { return &Responder{c: c} }

// ReadinessAddress returns the bound address of the readiness checks.
func (r *Responder) ReadinessAddress() netip.AddrPort { return address(r.c.Readiness) }

// MetricsAddress returns the bound address of the metrics page: that of the readiness checks while it has no other.
func (r *Responder) MetricsAddress() netip.AddrPort {
	if a := r.metricsAddress.Load(); a != nil {
		return *a
	}
	return r.ReadinessAddress()
}

func address(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// SetReady sets whether readiness checks are answered with success.
func (r *Responder) SetReady(ready bool) { r.ready.Store(ready) }

// Refusals returns how many readiness checks were answered with status 503.
func (r *Responder) Refusals() uint64 { return r.refusals.Load() }

// answerReadiness handles a readiness check.
func (r *Responder) answerReadiness(w http.ResponseWriter, _ *http.Request) {
	if r.ready.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	r.refusals.Add(1)
}

// Run serves the addresses until ctx ends. The daemon does not depend on the further address of the metrics page, which is bound when it
// is free.
func (r *Responder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("/", r.answerReadiness)
	if r.c.MetricsPage != nil {
		mux.Handle("GET /metrics", r.c.MetricsPage)
	}
	readiness := binder.Config{Bind: r.ReadinessAddress(), Network: "tcp4", Key: "readiness.bind", Logger: r.c.Logger}
	group.Go(func() error {
		return binder.KeepServing(ctx, readiness, r.c.Readiness, func(l net.Listener) error { return r.serve(ctx, l, mux) })
	})
	if r.c.MetricsBind.IsValid() && r.c.MetricsPage != nil {
		group.Go(func() error {
			r.serveMetrics(ctx)
			return nil
		})
	}
	return group.Wait()
}

func (r *Responder) serveMetrics(ctx context.Context) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.c.MetricsPage)
	c := binder.Config{Bind: r.c.MetricsBind, Network: "tcp4", Key: "metrics.bind", Logger: r.c.Logger}
	err := binder.KeepServing(ctx, c, nil, func(l net.Listener) error {
		bound := address(l)
		r.metricsAddress.Store(&bound)
		defer r.metricsAddress.Store(nil)
		return r.serve(ctx, l, mux)
	})
	if err != nil {
		r.c.Logger.Warn("metrics address not bound: metrics are served at the readiness address only", zap.Error(err))
	}
}

// serve serves the listener until ctx ends or the listener fails.
func (r *Responder) serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(r.c.Logger)}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(l)
}
