package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/counter"
)

// state is the state of the daemon that /healthz and status report.
type state uint32

const (
	stateStarting state = iota
	stateServing
	stateStopping
)

// String returns the name of the state.
func (s state) String() string { return [...]string{"starting", "serving", "stopping"}[s] }

// shutdownTimeout bounds how long the HTTP server waits for requests in progress when it stops.
const shutdownTimeout = time.Second

// web serves /metrics and /healthz.
type web struct {
	server *http.Server
	state  atomic.Uint32
}

func newWeb(c configurer.Settings, metrics http.Handler) *web {
	w := &web{}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", w.health)
	w.server = &http.Server{Addr: c.Metrics.Bind.String(), Handler: mux, ReadHeaderTimeout: time.Second}
	return w
}

func (w *web) health(rw http.ResponseWriter, _ *http.Request) {
	s := state(w.state.Load())
	if s != stateServing {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = rw.Write([]byte(s.String() + "\n"))
}

// run serves until ctx ends.
func (w *web) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = w.server.Shutdown(bounded)
	})
	defer stop()
	if err := w.server.ListenAndServe(); !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve metrics on %s: free the port or change metrics.bind", w.server.Addr)
	}
	return nil
}

// registerCounters exports every counter of a set as bluebelldyke.<subsystem>.events with the attribute event.
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

// gauge is one value read at collection time.
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
