package daemon

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/spooler"
)

// outputEndLimit is how long a daemon that ends waits for its log output.
const outputEndLimit = 400 * time.Millisecond

// logOutput writes the log lines. A slow, blocked or failed output delays no other goroutine.
type logOutput struct {
	logger  *zap.Logger
	encoder zapcore.Encoder
	spooler *spooler.Spooler
	cancel  context.CancelFunc
	ended   chan struct{}
	group   errgroup.Group
}

func newLogOutput(s configurer.Settings, to io.Writer) (*logOutput, error) {
	c := zap.NewProductionConfig()
	newEncoder := zapcore.NewJSONEncoder
	if s.Log.Format == "text" {
		c, newEncoder = zap.NewDevelopmentConfig(), zapcore.NewConsoleEncoder
	}
	if s.Log.Level != "" {
		level, err := zap.ParseAtomicLevel(s.Log.Level)
		if err != nil {
			return nil, eris.Wrapf(err, "log.level %q: use debug, info, warn or error", s.Log.Level)
		}
		c.Level = level
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &logOutput{encoder: newEncoder(c.EncoderConfig), spooler: spooler.New(to, 0), cancel: cancel, ended: make(chan struct{})}
	core := zapcore.NewCore(o.encoder, o.spooler, c.Level)
	if c.Sampling != nil {
		core = zapcore.NewSamplerWithOptions(core, time.Second, c.Sampling.Initial, c.Sampling.Thereafter)
	}
	o.logger = zap.New(core, zap.AddCaller())
	o.group.Go(func() error {
		defer close(o.ended)
		return o.spooler.Run(ctx)
	})
	return o, nil
}

// end writes the last line, which states why the daemon ends, whatever the log level is and also if lines were dropped before.
func (o *logOutput) end(ctx context.Context, err error) {
	cause := "stopped"
	if err != nil {
		cause = "failed"
	} else if stop := context.Cause(ctx); stop != nil {
		cause = stop.Error()
	}
	zap.New(zapcore.NewCore(o.encoder, o.spooler.LastLine(), zapcore.DebugLevel)).Info("daemon ends", zap.String("cause", cause), zap.Error(err))
	o.cancel()
	select {
	case <-o.ended:
	case <-time.After(outputEndLimit): // nothing reads the output
	}
}
