package cmd

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/runner"
	"github.com/bluebelldyke/bluebelldyke/platform"
)

func newDirect() *command {
	config := platform.SettingsFile()
	flags := newSubcommand("direct", "Run a daemon on the users' platform, where backend servers answer callers directly.",
		"direct --config custom/conf/direct.toml")
	flags.String(&config, "c", "config", "File with the process settings. Without it, the file that the platform names.")
	return &command{flags: flags, run: func(ctx context.Context, _ io.Writer) error {
		if config == "" {
			return usageError("no --config, and the platform names no settings file: name one")
		}
		s, err := loader.Load(config)
		if err != nil {
			return err
		}
		store, err := platform.NewStore(platform.Config{URL: s.PlatformURL, Evacuations: s.EvacuationBound > 0})
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		// The first signal starts a graceful shutdown and restores the default action, so that a second one ends the process.
		context.AfterFunc(ctx, stop)
		return addBindRemedy(config, runner.Run(ctx, runner.Config{Settings: s, File: config, Source: store, Layout: platform.PacketLayout(), Version: Version}))
	}}
}
