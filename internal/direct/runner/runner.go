// Package runner assembles and runs one daemon that forwards with direct return.
package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/follower"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/recorder"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/reloader"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/responder"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/transporter"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/modules/exposer"
	"github.com/bluebelldyke/bluebelldyke/modules/sleeper"
	"github.com/bluebelldyke/bluebelldyke/modules/spooler"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// heapTarget is the heap growth in percent between two collections: memory is dearer than processor time here.
	heapTarget = 30
	// stopPoll is how often a stopping daemon looks whether the fabric has taken it out of rotation.
	stopPoll = 20 * time.Millisecond
	// refusals is the number of checks that the fabric must miss to take a daemon out of rotation.
	refusals = 2
	// settle is how long no packet may have arrived for the fabric to send none any more: packets that were on their way
	// when it changed its choice arrive within this time. With fewer than half of the zone's daemons in rotation the fabric
	// sends to all of them, also to those that refuse.
	settle = 150 * time.Millisecond
	// graceReserve is the part of the grace that a stopping daemon leaves for its exit.
	graceReserve = 500 * time.Millisecond
)

// Config holds what a daemon is made of, beside its settings.
type Config struct {
	Settings loader.Settings
	// File is where the settings came from; changes of it are applied.
	File   string
	Source follower.Source
	Layout editor.Layout
}

// duties are the parts of a running daemon.
type duties struct {
	fx.In
	Settings    loader.Settings
	Logger      *zap.Logger
	Lines       *spooler.Spooler
	Peers       *peers.Peers
	Follower    *follower.Follower
	Transporter *transporter.Transporter
	Responder   *responder.Responder
	Reloader    *reloader.Reloader
}

// Run runs a daemon until ctx ends and its planned stop is done.
func Run(ctx context.Context, c Config) error {
	entry, err := transporter.Listen(c.Settings.Entry)
	if err != nil {
		return err
	}
	defer entry.Close() // Transporter.Run closes it earlier, if it runs
	var d duties
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(c, c.Settings, c.Layout, entry),
		fx.Provide(func() follower.Source { return c.Source }, newRandom, newSpooler, newLogger, newMetrics, newRecorder, newTransporter, newPeers, newFollower, newResponder, newReloader),
		fx.Invoke(func(in duties) { d = in }),
	)
	if err := app.Err(); err != nil {
		return dig.RootCause(err)
	}
	return d.run(ctx)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func newSpooler() *spooler.Spooler { return spooler.New(os.Stdout, 0) }

func newMetrics(lines *spooler.Spooler) (metric.Meter, http.Handler, error) {
	provider, page, err := exposer.New()
	if err != nil {
		return nil, nil, err
	}
	meter := provider.Meter("bluebelldyke")
	_, err = meter.Int64ObservableCounter("bluebelldyke.log.dropped", metric.WithDescription("log lines dropped because the output was slow"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(lines.Dropped()))
			return nil
		}))
	return meter, page, eris.Wrap(err, "metric log.dropped")
}

func newLogger(s loader.Settings, lines *spooler.Spooler) (*zap.Logger, zap.AtomicLevel, error) {
	level, err := zap.ParseAtomicLevel(s.Log.Level)
	if err != nil {
		return nil, level, eris.Wrapf(err, "log.level %q: use debug, info, warn or error", s.Log.Level)
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	if s.Log.Format == "text" {
		encoder = zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	return zap.New(zapcore.NewCore(encoder, lines, level)), level, nil
}

func newRecorder(s loader.Settings, logger *zap.Logger) *recorder.Recorder {
	return recorder.New(recorder.Config{Logger: logger, Budget: s.Log.Budget, Bytes: s.Log.Bytes})
}

func newTransporter(
	s loader.Settings, entry *net.UDPConn, layout editor.Layout, random *rand.Rand, records *recorder.Recorder, meter metric.Meter,
) (*transporter.Transporter, error) {
	t := transporter.New(transporter.Config{
		Entry: entry, Layout: layout, Steerer: steerer.New(steerer.Config{AvailabilityZone: s.AvailabilityZone, Random: random}),
		Recorder: records, Sleeper: sleeper.New(sleeper.TotalSuspended),
	})
	return t, t.Register(meter)
}

func newPeers(s loader.Settings, logger *zap.Logger, meter metric.Meter) (*peers.Peers, error) {
	return peers.New(peers.Config{
		Bind: s.Peer.Bind, Advertise: s.Peer.Advertise, AvailabilityZone: s.AvailabilityZone, Incarnation: uint64(time.Now().UnixMilli()),
		Key: s.Peer.Key, Seeds: s.Peer.Seeds, Logger: logger, Meter: meter, Random: newRandom(),
	})
}

func newFollower(
	s loader.Settings, source follower.Source, t *transporter.Transporter, p *peers.Peers, records *recorder.Recorder,
	logger *zap.Logger, meter metric.Meter,
) (*follower.Follower, error) {
	f := follower.New(follower.Config{
		Source: source, Sink: t, Peers: p, Logger: logger, AvailabilityZone: s.AvailabilityZone, Zones: s.Zones,
		Seeds: s.Peer.Seeds, Bounds: follower.Bounds{Leaving: s.LeavingBound, Configuration: s.ConfigurationBound},
	})
	p.Subscribe(f)
	t.OnFindings(f.Report)
	t.OnDaemons(func() int { return len(p.Zone()) })
	records.OnAges(func() recorder.Ages {
		configuration, listing := f.Ages()
		return recorder.Ages{Configuration: configuration, Listing: listing}
	})
	t.OnStale(f.ReadListing)
	t.OnSleep(f.Slept)
	return f, f.Register(meter)
}

func newReloader(c Config, level zap.AtomicLevel, p *peers.Peers, f *follower.Follower, logger *zap.Logger) *reloader.Reloader {
	inForce := c.Settings
	return reloader.New(reloader.Config{File: c.File, Logger: logger, Apply: func(s loader.Settings) {
		p.SetSeeds(s.Peer.Seeds)
		f.SetSeeds(s.Peer.Seeds)
		if l, err := zapcore.ParseLevel(s.Log.Level); err == nil { // the loader has checked it
			level.SetLevel(l)
		}
		logger.Info("changed settings are in force", zap.Stringers("seeds", s.Peer.Seeds), zap.Bool("restart-needed", s.NeedsRestart(&inForce)))
		inForce = s
	}})
}

func newResponder(s loader.Settings, page http.Handler, logger *zap.Logger) (*responder.Responder, error) {
	return responder.New(responder.Config{Bind: s.Readiness, Metrics: s.Metrics, Page: page, Logger: logger})
}

// run runs the duties. When ctx ends they go on until the fabric has taken the daemon out of rotation.
func (d *duties) run(ctx context.Context) error {
	d.Logger.Info("daemon starts", zap.String("vm", d.Settings.Name), zap.String("availability-zone", d.Settings.AvailabilityZone))
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, work := errgroup.WithContext(work)
	lines, endLines := context.WithCancel(context.WithoutCancel(ctx))
	var output errgroup.Group
	output.Go(func() error { return d.Lines.Run(lines) })
	group.Go(func() error { return d.Peers.Run(work) })
	group.Go(func() error { return d.Follower.Run(work) })
	group.Go(func() error { return d.Transporter.Run(work) })
	group.Go(func() error { return d.Responder.Run(work) })
	group.Go(func() error { return d.Reloader.Run(work) })
	group.Go(func() error {
		select {
		case <-work.Done():
		case <-ctx.Done():
		case <-d.Transporter.Ready():
			d.Responder.SetReady(true)
			d.Logger.Info("daemon is ready")
			debug.SetGCPercent(heapTarget)
		}
		return nil
	})
	group.Go(func() error {
		select {
		case <-work.Done():
		case <-ctx.Done():
			d.stop(work)
		}
		cancel()
		return nil
	})
	err := group.Wait()
	d.Logger.Info("daemon ends", zap.Error(err))
	endLines()
	_ = output.Wait() // it returns no error
	return err
}

// checks tells how many readiness checks were refused.
type checks interface{ Refused() uint64 }

// traffic tells for how long no packet has arrived.
type traffic interface{ Quiet() time.Duration }

// release is why a stopping daemon may end.
type release int

const (
	outOfRotation release = iota // the fabric has noticed, and sends nothing any more
	graceOver
	workEnded // a duty has failed
)

var releaseNames = [...]string{"out-of-rotation", "grace-over", "work-ended"}

// String returns the reason as logs spell it.
func (r release) String() string { return releaseNames[r] }

// awaitRelease waits until a daemon that refuses readiness may end: the fabric has missed enough checks and sends nothing any
// more, or the time is over.
func awaitRelease(work context.Context, most time.Duration, c checks, t traffic) release {
	deadline := time.Now().Add(most)
	before := c.Refused()
	for time.Now().Before(deadline) {
		if work.Err() != nil {
			return workEnded
		}
		if c.Refused() >= before+refusals && t.Quiet() >= settle {
			return outOfRotation
		}
		time.Sleep(stopPoll)
	}
	return graceOver
}

// stop refuses readiness and returns when the fabric has noticed, or when the grace is nearly over.
func (d *duties) stop(work context.Context) {
	d.Logger.Info("daemon stops", zap.Duration("grace", d.Settings.Grace))
	d.Responder.SetReady(false)
	d.Peers.Leave()
	d.Logger.Info("daemon leaves", zap.Stringer("reason", awaitRelease(work, d.Settings.Grace-graceReserve, d.Responder, d.Transporter)))
}
