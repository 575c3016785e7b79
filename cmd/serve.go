package cmd

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/routers/daemon"
)

const defaultConfigFile = "custom/conf/app.toml"

func newServe() *command {
	config := defaultConfigFile
	flags := newSubcommand("serve", "Run a daemon until SIGTERM or SIGINT; a second signal ends it immediately.", "serve --config "+defaultConfigFile)
	flags.String(&config, "c", "config", "File with the process settings.")
	return &command{flags: flags, run: func(ctx context.Context, _ io.Writer) error {
		s, err := configurer.Load(config)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		// The first signal starts a graceful shutdown and restores the default action, so that a second one ends the process.
		context.AfterFunc(ctx, stop)
		return addBindRemedy(config, daemon.Run(ctx, s))
	}}
}

// addBindRemedy adds the remedy to an error from binding an address.
func addBindRemedy(config string, err error) error {
	switch {
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
