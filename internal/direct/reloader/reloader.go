// Package reloader reads the process settings again when the platform has changed them: on SIGHUP, and when the file's
// content differs, because the platform may change it without a signal.
package reloader

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
)

// interval is the time between two looks at the file. New seeds matter only to a daemon that has lost its peers, and such a
// one reads the platform itself.
const interval = 5 * time.Second

// Config holds what a Reloader is made of.
type Config struct {
	File string // "" for settings that come from no file
	// Apply takes changed settings that are valid.
	Apply  func(loader.Settings)
	Logger *zap.Logger
}

// Reloader watches the settings file.
type Reloader struct {
	c       Config
	content []byte
	signals chan os.Signal
}

// New returns a Reloader. From then on SIGHUP does not end the process.
func New(c Config) *Reloader {
	r := &Reloader{c: c, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	if c.File != "" {
		r.content, _ = configurer.ReadFile(c.File) // the caller has read it: a failure shows at the next look
	}
	return r
}

// Run looks at the file until ctx ends.
func (r *Reloader) Run(ctx context.Context) error {
	defer signal.Stop(r.signals)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.c.Logger.Info("signal to read the settings again")
		case <-ticker.C:
		}
		r.look()
	}
}

// look applies the settings when the file has changed and is valid; otherwise the earlier ones stay in force.
func (r *Reloader) look() {
	if r.c.File == "" {
		return
	}
	content, err := configurer.ReadFile(r.c.File)
	if err != nil {
		r.c.Logger.Warn("settings not read again: the earlier ones stay in force", zap.Error(err))
		return
	}
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	s, err := loader.Parse(r.c.File, content)
	if err != nil {
		r.c.Logger.Warn("changed settings are invalid: the earlier ones stay in force", zap.Error(err))
		return
	}
	r.c.Apply(s)
}
