// Package reloader reloads the process settings on SIGHUP and when the content of the settings file changes, because the platform may
// change the file without a signal.
package reloader

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
)

// pollInterval is the interval at which the settings file is read. A change of the seeds matters only to a daemon that has lost its peers,
// and such a daemon reads the platform itself.
const pollInterval = 5 * time.Second

// Config holds the dependencies of a Reloader.
type Config struct {
	File string // path of the settings file; "" if the settings do not come from a file
	// Content is the content of the file when the settings in force were read.
	Content []byte
	// Apply puts changed settings in force. It is called with valid settings only.
	Apply  func(loader.Settings)
	Logger *zap.Logger
}

// Reloader polls the settings file and applies its changes.
type Reloader struct {
	c        Config
	content  []byte
	requests chan struct{}
}

// New returns a Reloader.
func New(c Config) *Reloader {
	return &Reloader{c: c, content: c.Content, requests: make(chan struct{}, 1)}
}

// Reload makes Run read the file at once. It does not wait.
func (r *Reloader) Reload() {
	select {
	case r.requests <- struct{}{}:
	default: // a request that is queued covers this one
	}
}

// Run reloads the settings until ctx ends.
func (r *Reloader) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.requests:
			r.c.Logger.Info("SIGHUP received: reloading the settings")
		case <-ticker.C:
		}
		r.reload()
	}
}

// reload applies the settings if the content of the file has changed and is valid. Otherwise the earlier ones stay in force.
func (r *Reloader) reload() {
	if r.c.File == "" {
		return
	}
	content, err := configurer.ReadFile(r.c.File)
	if err != nil {
		r.c.Logger.Warn("settings file not readable: the earlier settings stay in force", zap.Error(err))
		return
	}
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	s, err := loader.Parse(r.c.File, content)
	if err != nil {
		r.c.Logger.Warn("changed settings are invalid: the earlier settings stay in force", zap.Error(err))
		return
	}
	r.c.Apply(s)
}
