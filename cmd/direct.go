package cmd

import (
	"context"
	"io"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/follower"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/runner"
	"github.com/bluebelldyke/bluebelldyke/modules/signaler"
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
		return runner.Run(ctx, runner.Config{
			File: config, Signals: signaler.Signals(), Layout: platform.PacketLayout(), Version: Version, ExitStatus: exitCode,
			NewSource: func(s loader.Settings) (follower.Source, error) {
				return platform.NewStore(platform.Config{URL: s.PlatformURL, Evacuations: s.EvacuationBound > 0})
			},
		})
	}}
}
