// Package spooler writes lines behind a bounded ring, so that a slow or blocked output never holds up what writes to it: lines
// that find the ring full are dropped and counted.
package spooler

import (
	"context"
	"io"
	"slices"
	"sync/atomic"

	"github.com/bluebelldyke/bluebelldyke/modules/ring"
)

// DefaultCapacity is the number of lines that wait at most: a second of lines at the budgets of a busy daemon, in 150 KB.
const DefaultCapacity = 512

// Spooler is an io.Writer that never blocks.
type Spooler struct {
	to    io.Writer
	lines *ring.Ring[[]byte]
	lost  atomic.Uint64
}

// New returns a Spooler that writes to to while it runs; lines is its capacity, 0 for the default.
func New(to io.Writer, lines int) *Spooler {
	if lines <= 0 {
		lines = DefaultCapacity
	}
	return &Spooler{to: to, lines: ring.New[[]byte](lines)}
}

// Write takes one line. It always reports success: a log that can't be written is no reason to fail.
func (s *Spooler) Write(line []byte) (int, error) {
	s.lines.TryPush(slices.Clone(line))
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written by Run.
func (s *Spooler) Sync() error { return nil }

// Dropped returns how many lines were not written: the ring was full or the output failed.
func (s *Spooler) Dropped() uint64 { return s.lines.Dropped() + s.lost.Load() }

// Run writes lines until ctx ends, and then those that still wait.
func (s *Spooler) Run(ctx context.Context) error {
	for {
		line, err := s.lines.Pop(ctx)
		if err != nil {
			break
		}
		s.write(line)
	}
	for {
		line, ok := s.lines.TryPop()
		if !ok {
			return nil
		}
		s.write(line)
	}
}

func (s *Spooler) write(line []byte) {
	if _, err := s.to.Write(line); err != nil {
		s.lost.Add(1)
	}
}
