// Package responder answers the readiness checks of the fabric and serves the metrics page.
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

// headerTimeout limits the time for reading the header of a request, so that idle connections do not accumulate.
const headerTimeout = 2 * time.Second

// Config holds the addresses and dependencies of a Responder.
type Config struct {
	// ReadinessBind is the address of the readiness checks. It serves MetricsPage too, at /metrics.
	ReadinessBind netip.AddrPort
	// MetricsBind is a further address that serves MetricsPage only; the zero value means none.
	MetricsBind netip.AddrPort
	// MetricsPage renders the metrics; nil means that they are not served.
	MetricsPage http.Handler
	Logger      *zap.Logger
}

// Responder answers readiness checks and serves the metrics page.
type Responder struct {
	listeners []net.Listener // of the readiness checks first, then of the metrics if they have their own address
	servers   []*http.Server // each serves the listener with the same index
	ready     atomic.Bool
	refusals  atomic.Uint64
}

// New binds the addresses. At the readiness address, every path but /metrics is a readiness check.
func New(c Config) (*Responder, error) {
	r := &Responder{}
	mux := http.NewServeMux()
	mux.HandleFunc("/", r.answerReadiness)
	if c.MetricsPage != nil {
		mux.Handle("GET /metrics", c.MetricsPage)
	}
	if err := r.listen("readiness.bind", c.ReadinessBind, mux, c.Logger); err != nil {
		return nil, err
	}
	if !c.MetricsBind.IsValid() || c.MetricsPage == nil {
		return r, nil
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", c.MetricsPage)
	if err := r.listen("metrics.bind", c.MetricsBind, metricsMux, c.Logger); err != nil {
		// The readiness address serves the metrics too, and the daemon must forward packets even if the second address is taken.
		c.Logger.Warn("metrics address not bound: metrics are served at the readiness address only", zap.Error(err))
	}
	return r, nil
}

// listen binds an address and prepares its server. The key is that of the address in the settings.
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

// MetricsAddress returns the bound address of the metrics page: that of the readiness checks if it has no other.
func (r *Responder) MetricsAddress() netip.AddrPort { return address(r.listeners[len(r.listeners)-1]) }

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

// Run serves the bound addresses until ctx ends.
func (r *Responder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, server := range r.servers {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		group.Go(func() error {
			if err := server.Serve(r.listeners[i]); err != nil && !eris.Is(err, http.ErrServerClosed) {
				return eris.Wrap(err, "serve readiness checks and metrics")
			}
			return nil
		})
	}
	return group.Wait()
}
