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
)

// headerTimeout bounds the time for a request's header, so that silent connections do not pile up.
const headerTimeout = 2 * time.Second

// Responder answers readiness checks.
type Responder struct {
	listener net.Listener
	server   http.Server
	ready    atomic.Bool
	refused  atomic.Uint64
}

// New binds the address. It serves metrics, if any, at /metrics; every other path is the readiness check.
func New(bind netip.AddrPort, metrics http.Handler, logger *zap.Logger) (*Responder, error) {
	l, err := net.Listen("tcp4", bind.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on TCP %s: end the process that uses it or change readiness.bind", bind)
	}
	r := &Responder{listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("/", r.answer)
	if metrics != nil {
		mux.Handle("GET /metrics", metrics)
	}
	r.server = http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(logger)}
	return r, nil
}

// Address returns the bound address.
func (r *Responder) Address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetReady sets the answer to checks.
func (r *Responder) SetReady(ready bool) { r.ready.Store(ready) }

// Refused returns how many checks were answered with "not ready".
func (r *Responder) Refused() uint64 { return r.refused.Load() }

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
	stop := context.AfterFunc(ctx, func() { _ = r.server.Close() })
	defer stop()
	if err := r.server.Serve(r.listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "answer readiness checks")
	}
	return nil
}
