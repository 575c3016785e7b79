// Package runner assembles and runs one daemon that forwards with direct server return.
package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/follower"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/recorder"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/reloader"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/reporter"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/responder"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/summarizer"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/transporter"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/modules/exposer"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/modules/sleeper"
	"github.com/bluebelldyke/bluebelldyke/modules/spooler"
	"github.com/bluebelldyke/bluebelldyke/modules/supervisor"
	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
	"github.com/bluebelldyke/bluebelldyke/services/limiter"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// heapGrowth is the heap growth in percent between two garbage collections. It is below the default, because memory is scarcer than
	// processor time here.
	heapGrowth = 30
	// drainPollInterval is the interval at which a stopping daemon checks whether the fabric has taken it out of rotation.
	drainPollInterval = 20 * time.Millisecond
	// refusedChecksToDrain is the number of refused readiness checks after which the fabric takes a daemon out of rotation.
	refusedChecksToDrain = 2
	// quietPeriod is the time without a packet after which the fabric has stopped sending: packets that were in transit when it chose
	// other daemons arrive within this time. With fewer than half of the zone's daemons in rotation the fabric sends to all of them,
	// including those that refuse readiness checks.
	quietPeriod = 150 * time.Millisecond
	// componentEndLimit is the longest wait for the components to end.
	componentEndLimit = 300 * time.Millisecond
	// exitReserve is the part of the grace period that draining leaves for the exit of the process, half of a shorter one at most.
	exitReserve = 500 * time.Millisecond
)

// Config holds what a daemon gets from the command line and what depends on the platform.
type Config struct {
	// File is the settings file. Changes of it are applied while the daemon runs.
	File string
	// NewSource returns the source of the documents that the settings name.
	NewSource func(loader.Settings) (follower.Source, error)
	Layout    editor.Layout
	// Signals has the signals to the process; nil means none.
	Signals <-chan os.Signal
	// ExitStatus returns the exit status that follows from the error of Run.
	ExitStatus func(error) int
	// Version is the version of the program.
	Version string
}

// components are the parts of a running daemon, as assembled by dependency injection.
type components struct {
	fx.In
	Settings    loader.Settings
	Process     process
	Logger      *zap.Logger
	Supervisor  *supervisor.Supervisor
	Peers       *peers.Peers
	Reporter    *reporter.Reporter
	Follower    *follower.Follower
	Transporter *transporter.Transporter
	Responder   *responder.Responder
	Reloader    *reloader.Reloader
	Summarizer  *summarizer.Summarizer
	Operator    *operator.Server // nil without an operator address
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// newMetrics returns the meter of the daemon and the handler of the metrics page.
func newMetrics(output *spooler.Spooler, p process) (metric.Meter, http.Handler, error) {
	provider, page, err := exposer.New()
	if err != nil {
		return nil, nil, err
	}
	meter := provider.Meter("bluebelldyke")
	_, err = meter.Int64ObservableCounter("bluebelldyke.log.dropped", metric.WithDescription("log lines dropped because the output was slow"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(output.Dropped()))
			return nil
		}))
	if err != nil {
		return nil, nil, eris.Wrap(err, "metric log.dropped")
	}
	_, err = meter.Int64ObservableGauge("bluebelldyke.process.start-time", metric.WithDescription("start of the process in Unix time"), metric.WithUnit("s"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(p.startedAt.Unix())
			return nil
		}))
	return meter, page, eris.Wrap(err, "metric process.start-time")
}

func newSupervisor(logger *zap.Logger, meter metric.Meter) (*supervisor.Supervisor, error) {
	return supervisor.New(supervisor.Config{Logger: logger, Meter: meter})
}

func newRecoverer(logger *zap.Logger, meter metric.Meter) (*recoverer.Recoverer, error) {
	return recoverer.New(recoverer.Config{Logger: logger, Meter: meter})
}

func newRecorder(s loader.Settings, logger *zap.Logger, audit *auditor.Auditor) *recorder.Recorder {
	return recorder.New(recorder.Config{Logger: logger, Audit: trail(audit), LinesPerSecond: s.Log.LinesPerSecond, BytesPerSecond: s.Log.BytesPerSecond})
}

// newColdLimiter returns the limit of the new flows of cold backend servers, nil if the settings state none.
func newColdLimiter(s loader.Settings) *limiter.Limiter {
	if s.ColdLimit.IsZero() {
		return nil
	}
	return limiter.New(limiter.Config{Overage: s.ColdLimit.Overage, Slack: s.ColdLimit.Slack})
}

func newTransporter(
	s loader.Settings, entry transporter.Conn, layout editor.Layout, random *rand.Rand, records *recorder.Recorder, meter metric.Meter,
	contains *recoverer.Recoverer,
) (*transporter.Transporter, error) {
	t := transporter.New(transporter.Config{
		EntryConn: entry, Layout: layout, Steerer: steerer.New(steerer.Config{
			AvailabilityZone: s.AvailabilityZone, Random: random, ColdLimiter: newColdLimiter(s), Admission: steerer.AdmissionConfig{
				Enabled: s.Admission, Shared: s.AdmissionShared, MaxHeldPackets: transporter.MaxHeldPackets, MaxHeldBytes: transporter.MaxHeldBytes, PacketOverhead: layout.HeaderSize,
			},
			SpeedDigests: s.SpeedDigests, DigestOrigin: uint16(rand.Uint32()), EvenTies: s.EvenTies, StartLimit: s.StartLimit,
			CrossZoneMargin: s.CrossZoneMargin,
		}),
		Recorder: records, Recoverer: contains, Sleeper: sleeper.New(sleeper.TotalSuspended), ReportAtOnce: s.Probes, StartQueue: s.StartQueue,
	})
	return t, t.RegisterMetrics(meter)
}

func newPeers(
	s loader.Settings, process process, socket peers.Conn, logger *zap.Logger, meter metric.Meter, contains *recoverer.Recoverer,
) (*peers.Peers, error) {
	return peers.New(peers.Config{
		Conn: socket, Advertise: s.Peer.Advertise, AvailabilityZone: s.AvailabilityZone, Incarnation: process.incarnation,
		Key: s.Peer.Key, Seeds: s.Peer.Seeds, Weak: s.Peer.Weak, FastDetection: s.Peer.FastDetection, Logger: logger, Meter: meter, Random: newRandom(),
		Recoverer: contains,
	})
}

func newReporter(
	s loader.Settings, t *transporter.Transporter, p *peers.Peers, logger *zap.Logger, meter metric.Meter, contains *recoverer.Recoverer,
) (*reporter.Reporter, error) {
	c := reporter.Config{Peers: p, Sink: t, Logger: logger, Recoverer: contains, AvailabilityZone: s.AvailabilityZone, Weak: s.Peer.Weak}
	if s.Probes {
		c.References = t
	}
	r := reporter.New(c)
	p.SetNoticeHandler(r)
	t.OnFindings(r.ReportFindings)
	return r, r.RegisterMetrics(meter)
}

// followerSink puts documents in force through the Transporter. Findings of daemons of earlier versions pass through the Reporter.
type followerSink struct {
	*transporter.Transporter
	reporter *reporter.Reporter
}

// AddFindings implements follower.Sink.
func (s followerSink) AddFindings(findings []steerer.Finding) { s.reporter.AddFindings(findings) }

func newFollower(
	s loader.Settings, source follower.Source, t *transporter.Transporter, p *peers.Peers, r *reporter.Reporter, records *recorder.Recorder,
	logger *zap.Logger, meter metric.Meter, audit *auditor.Auditor, contains *recoverer.Recoverer,
) (*follower.Follower, error) {
	f := follower.New(follower.Config{
		Source: source, Sink: followerSink{t, r}, Peers: p, Logger: logger, AvailabilityZone: s.AvailabilityZone, AvailabilityZones: s.AvailabilityZones,
		Seeds: s.Peer.Seeds, StalenessBounds: follower.StalenessBounds{BackendList: s.LeavingBound, Configuration: s.ConfigurationBound, Evacuations: s.EvacuationBound},
		LimitsColdServers: !s.ColdLimit.IsZero(), TracksWarmUp: s.SpeedDigests, HandleDigest: t.AddDigest, Audit: trail(audit),
		LinkRate: s.Peer.LinkRate, Weak: s.Peer.Weak, Recoverer: contains,
		HandleAdmissionReport: admissionReportHandler(s, t),
		Departures:            t.Departures, HandleDepartures: t.AddDepartures,
	})
	r.SetFollower(f)
	t.OnDigest(f.SendDigest)
	t.OnAdmissionReports(f.SendAdmissionReports)
	t.SetZoneMembers(p.Address(), p.ZoneMembers)
	if s.EvenTies {
		t.SetZoneRank(func() int { return countBefore(p.ZoneMembers(), p.Address()) })
	}
	records.SetViewAges(func() recorder.ViewAges {
		configuration, backendList := f.Ages()
		return recorder.ViewAges{Configuration: configuration, BackendList: backendList}
	})
	t.OnStaleBackendList(f.RefreshBackendList)
	t.OnSuspension(f.HandleSuspension)
	return f, f.RegisterMetrics(meter)
}

// admissionReportHandler returns what handles the admission reports of peers, nil if they are switched off.
func admissionReportHandler(s loader.Settings, t *transporter.Transporter) func(netip.AddrPort, steerer.AdmissionReport) {
	if !s.AdmissionShared {
		return nil
	}
	return t.AddAdmissionReport
}

func newReloader(c Config, inForce loader.Settings, content settingsContent, level zap.AtomicLevel, p *peers.Peers, f *follower.Follower, logger *zap.Logger) *reloader.Reloader {
	return reloader.New(reloader.Config{File: c.File, Content: content, Logger: logger, Apply: func(s loader.Settings) {
		p.SetSeeds(s.Peer.Seeds)
		f.SetSeeds(s.Peer.Seeds)
		if l, err := zapcore.ParseLevel(s.Log.Level); err == nil { // the loader has validated the level
			level.SetLevel(l)
		}
		logAdjustments(logger, s)
		logger.Info("changed settings are in force", zap.Stringers("seeds", s.Peer.Seeds), zap.Bool("restart-needed", s.NeedsRestart(&inForce)))
		inForce = s
	}})
}

func newResponder(s loader.Settings, readiness net.Listener, page http.Handler, logger *zap.Logger) *responder.Responder {
	return responder.New(responder.Config{Readiness: readiness, MetricsBind: s.MetricsBind, MetricsPage: page, Logger: logger})
}

// countBefore returns the number of members whose address is lower than that of this daemon.
func countBefore(members []netip.AddrPort, own netip.AddrPort) int {
	n := 0
	for _, address := range members {
		if address.Compare(own) < 0 {
			n++
		}
	}
	return n
}

// run runs the components until the daemon has drained after ctx has ended, until abort ends, or until a component cannot go on.
func (c *components) run(ctx, abort context.Context) error {
	runCtx, cancel := context.WithCancel(abort)
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	run := func(component supervisor.Component) {
		group.Go(func() error { return c.Supervisor.Run(runCtx, component) })
	}
	run(supervisor.Component{Name: "peers", Run: c.Peers.Run})
	run(supervisor.Component{Name: "reporter", Run: c.Reporter.Run})
	run(supervisor.Component{Name: "follower", Run: c.Follower.Run})
	run(supervisor.Component{Name: "transporter", Run: c.Transporter.Run})
	run(supervisor.Component{Name: "responder", Run: c.Responder.Run, Stateless: true})
	run(supervisor.Component{Name: "reloader", Run: c.Reloader.Run, Stateless: true})
	if c.Operator != nil {
		run(supervisor.Component{Name: "operator", Run: c.Operator.Run, Stateless: true})
	}
	group.Go(func() error {
		select {
		case <-runCtx.Done():
		case <-ctx.Done():
		case <-c.Transporter.Ready():
			c.Responder.SetReady(true)
			c.Summarizer.SetState(operator.Serving)
			c.Logger.Info("daemon is ready", zap.Uint64("incarnation", c.Process.incarnation))
			debug.SetGCPercent(heapGrowth)
		}
		return nil
	})
	group.Go(func() error {
		select {
		case <-runCtx.Done():
		case <-ctx.Done():
			c.drain(runCtx)
		}
		cancel()
		return nil
	})
	return waitForComponents(runCtx, group)
}

// waitForComponents waits until the components have ended. Once ctx has ended, those that hang, for example on a lock that a panic has left
// locked, do not hold the process for long.
func waitForComponents(ctx context.Context, group *errgroup.Group) error {
	ended := make(chan error, 1)
	var waiter errgroup.Group
	waiter.Go(func() error {
		ended <- group.Wait()
		return nil
	})
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(componentEndLimit):
	}
	if cause := context.Cause(ctx); supervisor.IsErrPanic(cause) {
		return cause
	}
	return nil
}

// refusalCounter counts the readiness checks that were refused.
type refusalCounter interface{ Refusals() uint64 }

// idleTimer measures the time since the latest packet.
type idleTimer interface{ IdleTime() time.Duration }

// drainResult is why draining ended.
type drainResult int

const (
	outOfRotation drainResult = iota // the fabric has taken the daemon out of rotation and sends nothing any more
	gracePeriodOver
	componentFailed
)

var drainResultNames = [...]string{"out-of-rotation", "grace-over", "work-ended"}

// String returns the name of the result in logs.
func (r drainResult) String() string { return drainResultNames[r] }

// awaitDrained waits until the fabric has taken a daemon that refuses readiness checks out of rotation and no packets arrive any more. It
// returns earlier after the timeout, or when ctx ends because a component failed.
func awaitDrained(ctx context.Context, timeout time.Duration, c refusalCounter, t idleTimer) drainResult {
	deadline := time.Now().Add(timeout)
	before := c.Refusals()
	for time.Now().Before(deadline) {
		if ctx.Err() != nil {
			return componentFailed
		}
		if c.Refusals() >= before+refusedChecksToDrain && t.IdleTime() >= quietPeriod {
			return outOfRotation
		}
		time.Sleep(drainPollInterval)
	}
	return gracePeriodOver
}

// drain refuses readiness checks, announces the departure to the peers, and returns when the daemon has drained or when the grace period
// is nearly over.
func (c *components) drain(ctx context.Context) {
	c.Logger.Info("daemon stops", zap.Duration("grace", c.Settings.GracePeriod))
	c.Summarizer.SetState(operator.Stopping)
	c.Transporter.ForwardHeld()
	c.Responder.SetReady(false)
	c.Peers.Leave()
	c.Logger.Info("daemon leaves", zap.Stringer("reason", awaitDrained(ctx, c.Settings.GracePeriod-min(exitReserve, c.Settings.GracePeriod/2), c.Responder, c.Transporter)))
}
