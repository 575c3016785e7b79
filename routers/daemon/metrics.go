package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/modules/binder"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/counter"
)

// state is the lifecycle state of the daemon, as reported by /healthz and the subcommand status.
type state uint32

const (
	stateStarting state = iota
	stateServing
	stateStopping
)

// String returns the name of the state.
func (s state) String() string { return [...]string{"starting", "serving", "stopping"}[s] }

// shutdownTimeout limits how long a stopping HTTP server waits for requests in progress.
const shutdownTimeout = time.Second

// webServer serves /metrics and /healthz.
type webServer struct {
	bind   netip.AddrPort
	logger *zap.Logger
	server *http.Server
	state  atomic.Uint32
}

func newWebServer(c configurer.Settings, logger *zap.Logger, metrics http.Handler) *webServer {
	w := &webServer{bind: c.Metrics.Bind, logger: logger}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", w.handleHealthz)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	return w
}

func (w *webServer) handleHealthz(rw http.ResponseWriter, _ *http.Request) {
	s := state(w.state.Load())
	if s != stateServing {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = rw.Write([]byte(s.String() + "\n"))
}

// run serves until ctx ends. While another process holds the address, it waits.
func (w *webServer) run(ctx context.Context) error {
	listener, err := binder.ListenTCP(ctx, binder.Config{Bind: w.bind, Network: "tcp", Key: "metrics.bind", Logger: w.logger})
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = w.server.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := w.server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve metrics on %s: free the port or change metrics.bind", w.bind)
	}
	return nil
}

// registerCounters exports the counters of a set as the metric bluebelldyke.<subsystem>.events, whose attribute event is the name of
// the counter.
func registerCounters(m metric.Meter, subsystem string, set *counter.Set) error {
	attributes := make([]metric.MeasurementOption, len(set.Names()))
	for i, name := range set.Names() {
		attributes[i] = metric.WithAttributes(attribute.String("event", name))
	}
	_, err := m.Int64ObservableCounter("bluebelldyke."+subsystem+".events",
		metric.WithDescription("Events of the "+subsystem+" since start, by kind."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for i := range attributes {
				o.Observe(int64(set.Value(i)), attributes[i])
			}
			return nil
		}))
	return eris.Wrap(err, "register counters")
}

// gauge is a metric whose value is read when metrics are collected.
type gauge struct {
	name, description, unit string
	read                    func() float64
}

func registerGauges(m metric.Meter, gauges []gauge) error {
	for _, g := range gauges {
		_, err := m.Float64ObservableGauge("bluebelldyke."+g.name, metric.WithDescription(g.description), metric.WithUnit(g.unit),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(g.read())
				return nil
			}))
		if err != nil {
			return eris.Wrap(err, "register gauges")
		}
	}
	return nil
}
