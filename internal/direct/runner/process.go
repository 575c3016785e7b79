package runner

import (
	"bytes"
	"context"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/follower"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/printer"
	"github.com/bluebelldyke/bluebelldyke/modules/spooler"
	"github.com/bluebelldyke/bluebelldyke/modules/stopper"
	"github.com/bluebelldyke/bluebelldyke/modules/supervisor"
)

const (
	// outputEndLimit is the longest wait for the log output at the end of the process.
	outputEndLimit = 400 * time.Millisecond
	// settingsWait is how long a starting daemon waits for valid settings: the file may be about to be written.
	settingsWait = 2 * time.Second
	// settingsRetryInterval is the interval at which it reads the file meanwhile.
	settingsRetryInterval = 50 * time.Millisecond
)

// process identifies one run of a daemon. Peers take a higher incarnation at an address for a later process.
type process struct {
	version     string
	startedAt   time.Time
	incarnation uint64 // when the addresses were bound, in Unix ms
}

func newProcess(c Config) process {
	return process{version: c.Version, startedAt: time.Now()}
}

// ErrLogged is an error that the last line of the log states.
type ErrLogged struct{ Cause error }

// Error returns the text of the cause.
func (e *ErrLogged) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrLogged) Unwrap() error { return e.Cause }

// IsErrLogged reports whether err is an ErrLogged.
func IsErrLogged(err error) bool {
	var logged *ErrLogged
	return eris.As(err, &logged)
}

// settingsContent is the content of the settings file that is in force.
type settingsContent []byte

// Run runs a daemon until a signal or the end of ctx stops it and it has drained, or until a component fails. It does not wait for the daemon
// after a second SIGINT.
func Run(ctx context.Context, c Config) error {
	log := startLog()
	signals := stopper.New(ctx, c.Signals)
	signals.SetLogger(log.logger)
	signalsCtx, endSignals := context.WithCancel(context.WithoutCancel(ctx))
	defer endSignals()
	var group errgroup.Group
	group.Go(func() error { return signals.Run(signalsCtx) })
	ended := make(chan error, 1)
	group.Go(func() error {
		ended <- start(c, log, signals)
		return nil
	})
	var err error
	select {
	case err = <-ended:
	case <-signals.Aborting().Done():
		err = eris.Wrap(context.Cause(signals.Aborting()), "the shutdown was cut short")
	}
	logged := log.end(c, signals, err)
	if err != nil && logged {
		return &ErrLogged{err}
	}
	return err
}

// start reads the settings, binds the addresses, and assembles and runs the daemon.
func start(c Config, log *logOutput, signals *stopper.Stopper) error {
	p := newProcess(c)
	settings, content, err := awaitSettings(signals.Stopping(), c.File, log.logger)
	if signals.Stopping().Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	if err := log.configure(settings); err != nil {
		return err
	}
	signals.SetLogger(log.logger)
	log.logger.Info("daemon starts", zap.String("vm", settings.VMName), zap.String("availability-zone", settings.AvailabilityZone),
		zap.Int("process", os.Getpid()), zap.String("version", p.version))
	logAdjustments(log.logger, settings)
	source, err := c.NewSource(settings)
	if err != nil {
		return err
	}
	bound, err := bind(signals.Stopping(), settings, log.logger)
	if signals.Stopping().Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	p.incarnation = uint64(bound.at.UnixMilli())
	var assembled components
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(c, p, settings, settingsContent(content), c.Layout, log.logger, log.level, log.spooler),
		fx.Provide(func() follower.Source { return source }, bound.provide, newRandom, newMetrics, newSupervisor, newRecoverer, newRecorder, newTransporter, newPeers, newReporter, newFollower, newResponder, newReloader, newAuditor, newSummarizer, newOperator),
		fx.Invoke(func(in components) { assembled = in }),
	)
	if err := app.Err(); err != nil {
		return dig.RootCause(err)
	}
	signals.OnReload(assembled.Reloader.Reload)
	if err := assembled.run(signals.Stopping(), signals.Aborting()); err != nil {
		return err
	}
	return eris.Wrap(context.Cause(signals.Aborting()), "the shutdown was cut short")
}

// awaitSettings reads the settings file. A file that is missing, empty or invalid is read again for settingsWait.
func awaitSettings(ctx context.Context, file string, logger *zap.Logger) (loader.Settings, []byte, error) {
	var latest []byte
	var s loader.Settings
	var err error
	warned := false
	for deadline := time.Now().Add(settingsWait); ; {
		content, readErr := configurer.ReadFile(file)
		switch {
		case readErr != nil:
			err, latest = readErr, nil
		case latest == nil || !bytes.Equal(content, latest):
			latest = content
			s, err = loader.Parse(file, content)
		}
		if err == nil {
			return s, latest, nil
		}
		if !time.Now().Before(deadline) {
			return s, nil, err
		}
		if !warned {
			warned = true
			logger.Warn("no valid settings yet: reading the file again", zap.Duration("limit", settingsWait), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return s, nil, context.Cause(ctx)
		case <-time.After(settingsRetryInterval):
		}
	}
}

func logAdjustments(logger *zap.Logger, s loader.Settings) {
	for _, a := range s.Adjustments {
		logger.Warn("setting out of range: the nearest permitted value is used", zap.String("key", a.Key), zap.String("stated", a.Stated), zap.String("used", a.Used))
	}
}

// logOutput writes the log of the process to the standard output.
type logOutput struct {
	spooler *spooler.Spooler
	logger  *zap.Logger
	level   zap.AtomicLevel
	cancel  context.CancelFunc
	ended   chan struct{}

	mu      sync.Mutex // a process that ends at once does not wait for configure
	encoder zapcore.Encoder
}

// startLog starts the log with the default settings.
func startLog() *logOutput {
	ctx, cancel := context.WithCancel(context.Background())
	l := &logOutput{spooler: spooler.New(printer.Stdout, 0), level: zap.NewAtomicLevel(), cancel: cancel, ended: make(chan struct{})}
	l.encoder = zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	l.logger = zap.New(zapcore.NewCore(l.encoder, l.spooler, l.level))
	var group errgroup.Group
	group.Go(func() error {
		defer close(l.ended)
		return l.spooler.Run(ctx)
	})
	return l
}

// configure puts the level and the format of the settings in force.
func (l *logOutput) configure(s loader.Settings) error {
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return eris.Wrapf(err, "log.level %q: use debug, info, warn or error", s.Log.Level)
	}
	l.level.SetLevel(level)
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Log.Format == "text" {
		l.encoder = zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	l.logger = zap.New(zapcore.NewCore(l.encoder, l.spooler, l.level))
	return nil
}

// end writes the last line of the process, whatever the log level is, and waits for the output for a limited time. It
// returns false if nothing has read the line.
func (l *logOutput) end(c Config, signals *stopper.Stopper, err error) bool {
	cause := "failed"
	if err == nil {
		cause = context.Cause(signals.Stopping()).Error() // run ends only by an error or a stop
	}
	l.mu.Lock()
	logger := zap.New(zapcore.NewCore(l.encoder, l.spooler.LastLine(), zapcore.DebugLevel))
	l.mu.Unlock()
	fields := []zap.Field{zap.String("cause", cause), zap.Int("exit-status", c.ExitStatus(err)), zap.Error(err)}
	var p *supervisor.ErrPanic
	if eris.As(err, &p) {
		fields = append(fields, zap.ByteString("stack", p.Stack))
	}
	logger.Info("daemon ends", fields...)
	l.cancel()
	select {
	case <-l.ended:
		return true
	case <-time.After(outputEndLimit):
		return false
	}
}
