package cmd

import (
	"context"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/binder"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/signaler"
	"github.com/bluebelldyke/bluebelldyke/modules/stopper"
	"github.com/bluebelldyke/bluebelldyke/routers/daemon"
)

const defaultConfigFile = "custom/conf/app.toml"

func newServe() *command {
	config := defaultConfigFile
	flags := newSubcommand("serve", "Run a daemon until SIGTERM or SIGINT; a second SIGINT ends it immediately.", "serve --config "+defaultConfigFile)
	flags.String(&config, "c", "config", "File with the process settings.")
	return &command{flags: flags, run: func(ctx context.Context, _ io.Writer) error {
		return addBindRemedy(config, runUntilStopped(ctx, signaler.Signals(), func(ctx context.Context) error {
			s, err := awaitSettings(ctx, config)
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return err
			}
			return daemon.Run(ctx, s)
		}))
	}}
}

const (
	// settingsWait is how long a starting daemon waits for valid settings: the file may be about to be written.
	settingsWait = 2 * time.Second
	// settingsRetryInterval is the interval at which it reads the file meanwhile.
	settingsRetryInterval = 50 * time.Millisecond
)

// awaitSettings reads the settings file. A file that is missing or invalid is read again for settingsWait.
func awaitSettings(ctx context.Context, file string) (configurer.Settings, error) {
	for deadline := time.Now().Add(settingsWait); ; {
		s, err := configurer.Load(file)
		if err == nil || !time.Now().Before(deadline) {
			return s, err
		}
		select {
		case <-ctx.Done():
			return s, err
		case <-time.After(settingsRetryInterval):
		}
	}
}

// runUntilStopped runs a daemon whose shutdown begins at the first stop signal. It does not wait for the daemon after a second SIGINT.
func runUntilStopped(ctx context.Context, received <-chan os.Signal, run func(context.Context) error) error {
	signals := stopper.New(ctx, received)
	signalsCtx, endSignals := context.WithCancel(context.WithoutCancel(ctx))
	defer endSignals()
	var group errgroup.Group
	group.Go(func() error { return signals.Run(signalsCtx) })
	ended := make(chan error, 1)
	group.Go(func() error {
		ended <- run(signals.Stopping())
		return nil
	})
	select {
	case err := <-ended:
		return err
	case <-signals.Aborting().Done():
		return eris.Wrap(context.Cause(signals.Aborting()), "the shutdown was cut short")
	}
}

// addBindRemedy adds the remedy to an error from binding an address.
func addBindRemedy(config string, err error) error {
	switch {
	case binder.IsErrUnavailable(err): // it names the remedy
		return err
	case eris.Is(err, syscall.EADDRINUSE):
		return eris.Wrapf(err, "address in use: end the process that uses it or change the address in %s", config)
	case eris.Is(err, syscall.EADDRNOTAVAIL):
		return eris.Wrapf(err, "address not on this VM: correct the address in %s", config)
	case eris.Is(err, syscall.EACCES):
		return eris.Wrapf(err, "address not permitted: use a port from 1024 in %s", config)
	default:
		return err
	}
}
