// Package spooler writes lines asynchronously through a bounded ring buffer, so that a slow or blocked output never delays the
// code that logs. When the ring buffer is full, lines are dropped and counted.
package spooler

import (
	"context"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/ring"
)

// DefaultCapacity is the default capacity in lines. It holds the lines that the log budgets allow a busy daemon in a second,
// about 150 KB.
const DefaultCapacity = 512

// flushLimit is how long Run writes queued lines after its context has ended. The last line follows in any case.
const flushLimit = 200 * time.Millisecond

// Spooler is an io.Writer that never blocks. Run writes the lines to the output.
type Spooler struct {
	output      io.Writer
	lines       *ring.Ring[[]byte]
	writeErrors atomic.Uint64
	abandoned   atomic.Uint64 // queued lines that were not written at the end
	last        atomic.Pointer[[]byte]
}

// New returns a Spooler that writes to output while Run runs. Its capacity is in lines; 0 means DefaultCapacity.
func New(output io.Writer, capacity int) *Spooler {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Spooler{output: output, lines: ring.New[[]byte](capacity)}
}

// Write queues a copy of one line. It always returns success, because callers must not fail when a line cannot be logged.
func (s *Spooler) Write(line []byte) (int, error) {
	s.lines.TryPush(slices.Clone(line))
	return len(line), nil
}

// LastLine returns a writer whose latest line Run writes after all others, also if the ring buffer is full.
func (s *Spooler) LastLine() *LastLine { return &LastLine{s} }

// LastLine keeps the line that a Spooler writes at its end. It implements zapcore.WriteSyncer.
type LastLine struct{ spooler *Spooler }

// Write keeps a copy of the line.
func (l *LastLine) Write(line []byte) (int, error) {
	kept := slices.Clone(line)
	l.spooler.last.Store(&kept)
	return len(line), nil
}

// Sync does nothing; Run writes the line.
func (l *LastLine) Sync() error { return nil }

// Sync implements zapcore.WriteSyncer. It does nothing; Run writes the lines.
func (s *Spooler) Sync() error { return nil }

// Dropped returns how many lines were lost because the ring buffer was full or the output returned an error.
func (s *Spooler) Dropped() uint64 {
	return s.lines.Dropped() + s.writeErrors.Load() + s.abandoned.Load()
}

// Run writes lines until ctx ends, then the lines that are still queued, for a limited time, and at last the line of LastLine.
func (s *Spooler) Run(ctx context.Context) error {
	for {
		line, err := s.lines.Pop(ctx)
		if err != nil {
			break
		}
		s.write(line)
	}
	for deadline := time.Now().Add(flushLimit); ; {
		line, ok := s.lines.TryPop()
		if !ok {
			break
		}
		if time.Now().After(deadline) {
			s.abandoned.Add(1)
			continue
		}
		s.write(line)
	}
	if last := s.last.Load(); last != nil {
		s.write(*last)
	}
	return nil
}

func (s *Spooler) write(line []byte) {
	if _, err := s.output.Write(line); err != nil {
		s.writeErrors.Add(1)
	}
}
