// Package daemon assembles and runs one balancer. It owns the sockets, timers and ring buffers, passes events to the packages that
// decide, such as services/forwarder, and executes the actions that they return.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/modules/binder"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/counter"
	"github.com/bluebelldyke/bluebelldyke/modules/exposer"
	"github.com/bluebelldyke/bluebelldyke/modules/printer"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/routers/checker"
	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
	"github.com/bluebelldyke/bluebelldyke/routers/relayer"
	"github.com/bluebelldyke/bluebelldyke/routers/transceiver"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
	"github.com/bluebelldyke/bluebelldyke/services/forwarder"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// Capacities of the rings, in batches of datagrams, health updates and queries.
const (
	entryRingCapacity   = 1024
	backendRingCapacity = 1024
	healthRingCapacity  = 4096
	queryRingCapacity   = 16
)

// process identifies this run of the daemon and creates its random generators.
type process struct {
	incarnation uint64                // start time in Unix ms
	newRandom   func() *mathrand.Rand // returns a generator with a seed of its own
}

// peerSockets are the sockets at the peer address.
type peerSockets struct {
	udp *net.UDPConn
	tcp net.Listener
}

// bindPeers binds the peer address. While the predecessor of this process holds it, bindPeers waits.
func bindPeers(ctx context.Context, s configurer.Settings, logger *zap.Logger) (peerSockets, error) {
	udp, err := binder.ListenUDP(ctx, binder.Config{Bind: s.Peer.Bind, Network: "udp", Key: "peer.bind", Logger: logger})
	if err != nil {
		return peerSockets{}, err
	}
	tcp, err := binder.ListenTCP(ctx, binder.Config{Bind: s.Peer.Bind, Network: "tcp", Key: "peer.bind", Logger: logger})
	if err != nil {
		return peerSockets{}, errors.Join(err, udp.Close())
	}
	return peerSockets{udp, tcp}, nil
}

// Run runs a balancer until ctx ends, and then shuts it down gracefully.
func Run(ctx context.Context, s configurer.Settings) error {
	output, err := newLogOutput(s, printer.Stderr)
	if err != nil {
		return err
	}
	err = run(ctx, s, output.logger)
	output.end(ctx, err)
	return err
}

func run(ctx context.Context, s configurer.Settings, logger *zap.Logger) error {
	sockets, err := bindPeers(ctx, s, logger)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	var t *tasks
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s, logger, sockets),
		fx.Provide(
			newProcess, newMetrics, newRecoverer, newWebServer, newPeers, newRelayer, newScheduler, newGatekeeper, newCounters,
			newForwarder, newRings, newEntrySockets, newWriters, newChecker, newDecider, newAuditor, newStatus, newOperator,
			newTasks,
		),
		fx.Invoke(registerMetrics),
		fx.Populate(&t),
	)
	if err := app.Err(); err != nil {
		return dig.RootCause(err)
	}
	if err := app.Start(ctx); ctx.Err() != nil {
		return app.Stop(context.WithoutCancel(ctx)) // nothing is served yet
	} else if err != nil {
		return dig.RootCause(err)
	}
	err = t.run(ctx)
	if stopErr := app.Stop(context.WithoutCancel(ctx)); err == nil {
		err = stopErr
	}
	return err
}

func newProcess() process {
	return process{
		incarnation: uint64(time.Now().UnixMilli()),
		newRandom: func() *mathrand.Rand {
			var b [16]byte
			_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
			return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(b[:]), binary.LittleEndian.Uint64(b[8:])))
		},
	}
}

func newMetrics(lc fx.Lifecycle) (metric.Meter, http.Handler, error) {
	provider, handler, err := exposer.New()
	if err != nil {
		return nil, nil, err
	}
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error { return provider.Shutdown(ctx) }})
	return provider.Meter("bluebelldyke"), handler, nil
}

func newRecoverer(logger *zap.Logger, meter metric.Meter) (*recoverer.Recoverer, error) {
	return recoverer.New(recoverer.Config{Logger: logger, Meter: meter})
}

func newPeers(s configurer.Settings, p process, sockets peerSockets, recoverer *recoverer.Recoverer, logger *zap.Logger, meter metric.Meter) (*peers.Peers, error) {
	return peers.New(peers.Config{
		Conn: sockets.udp, Advertise: s.Peer.Advertise, AvailabilityZone: s.AvailabilityZone, Incarnation: p.incarnation,
		Key: s.Peer.Key, Seeds: s.Peer.Seeds, Logger: logger, Meter: meter, Random: p.newRandom(),
		Recoverer: recoverer,
	})
}

// auditSink records the decisions of the relayer in the audit trail.
type auditSink struct{ *auditor.Auditor }

// Record implements relayer.Audit.
func (a auditSink) Record(e relayer.AuditEntry) {
	a.Auditor.Record(auditEntry(e))
}

func newAuditor() *auditor.Auditor { return auditor.New(auditor.Config{}) }

func newRelayer(
	s configurer.Settings, p process, sockets peerSockets, members *peers.Peers, audit *auditor.Auditor, logger *zap.Logger, meter metric.Meter,
	recoverer *recoverer.Recoverer,
) (*relayer.Relayer, error) {
	r, err := relayer.New(relayer.Config{
		PlatformURL: s.Platform.URL, AvailabilityZone: s.AvailabilityZone, Self: members.Address(), Listener: sockets.tcp, Seeds: s.Peer.Seeds, Members: members,
		Audit: auditSink{audit}, Logger: logger, Meter: meter, Random: p.newRandom(), Key: s.Peer.Key,
		Dial: dialFrom(s.Peer.Bind.Addr()), Recoverer: recoverer,
	})
	if err != nil {
		return nil, err
	}
	members.SetDocuments(r)
	return r, nil
}

// dialFrom returns a TCP dial function whose connections have ip as their source address. Peers and firewalls then see the address in
// the process settings, also on a VM with several addresses.
func dialFrom(ip netip.Addr) func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	if ip.IsValid() && !ip.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
	}
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", to.String())
	}
}

func newScheduler(s configurer.Settings, p process) *scheduler.Scheduler {
	return scheduler.New(scheduler.Config{AvailabilityZone: s.AvailabilityZone, Random: p.newRandom()})
}

func newGatekeeper(members *peers.Peers, p process) *gatekeeper.Gatekeeper {
	return gatekeeper.New(gatekeeper.Config{Self: members.Address(), Incarnation: p.incarnation, Random: p.newRandom()})
}

func newCounters() *counter.Set { return forwarder.NewCounters() }

func newForwarder(
	settings configurer.Settings, p process, members *peers.Peers, s *scheduler.Scheduler, g *gatekeeper.Gatekeeper,
	c *counter.Set,
) *forwarder.Forwarder {
	return forwarder.New(forwarder.Config{
		Self: members.Address(), AvailabilityZone: settings.AvailabilityZone, Incarnation: p.incarnation, Placer: s, Gate: g, Random: p.newRandom(), Counters: c,
	})
}

// rings are the queues between the goroutines of the data path.
type rings struct {
	entry         *ring.Ring[*transceiver.Batch]
	backend       *ring.Ring[*transceiver.Batch]
	healthUpdates *ring.Ring[examiner.HealthUpdate]
	queries       *ring.Ring[func(now time.Time)]
}

func newRings() rings {
	return rings{
		entry:         ring.New[*transceiver.Batch](entryRingCapacity),
		backend:       ring.New[*transceiver.Batch](backendRingCapacity),
		healthUpdates: ring.New[examiner.HealthUpdate](healthRingCapacity),
		queries:       ring.New[func(now time.Time)](queryRingCapacity),
	}
}

func newEntrySockets(s configurer.Settings, logger *zap.Logger, r rings) *sockets {
	return newSockets(logger, s.Entry, r.entry)
}

func newChecker(
	s configurer.Settings, p process, r rings, members *peers.Peers, meter metric.Meter, recoverer *recoverer.Recoverer,
) (*checker.Checker, error) {
	c, err := checker.New(checker.Config{
		Self: members.Address(), AvailabilityZone: s.AvailabilityZone, Incarnation: p.incarnation, Members: members,
		Random: p.newRandom(), HealthUpdates: r.healthUpdates, Dial: dialFrom(localAddress(s.Entry).Addr()), Meter: meter,
		Recoverer: recoverer,
	})
	if err != nil {
		return nil, err
	}
	members.SetHealthReports(c)
	return c, nil
}

func newDecider(
	logger *zap.Logger, f *forwarder.Forwarder, s *scheduler.Scheduler, sockets *sockets, w *writers, c *checker.Checker,
	r *relayer.Relayer, members *peers.Peers, rings rings, web *webServer, recoverer *recoverer.Recoverer,
) *decider {
	return &decider{
		logger: logger, forwarder: f, scheduler: s, sockets: sockets, writers: w, checker: c, views: r.Views(),
		refresher: r, gateForwarder: members, candidates: members, rings: rings, web: web, recoverer: recoverer,
	}
}

func newOperator(s configurer.Settings, status *status, logger *zap.Logger, recoverer *recoverer.Recoverer) *operator.Server {
	return operator.New(operator.Config{Bind: s.Operator.Bind, Status: status, Audit: status, Logger: logger, Recoverer: recoverer})
}

// localAddress returns the address to which the socket to backend servers is bound.
func localAddress(e configurer.Entry) netip.AddrPort {
	if e.IP.IsValid() {
		return netip.AddrPortFrom(e.IP, 0)
	}
	return netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
}
