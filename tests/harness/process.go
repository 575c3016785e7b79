// Package harness runs the daemon and the stand-ins as real processes on loopback, for the demo and the integration
// tests. Each harness owns a block of ports, so several can run at once.
package harness

import (
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Process is one process that the harness started.
type Process struct {
	Name    string
	LogFile string // file with its output

	cmd       *exec.Cmd
	startedAt time.Time
	done      chan struct{} // closed when the process has exited
	endedAt   time.Time     // valid once done is closed
	err       error         // result of Wait; valid once done is closed

	mu      sync.Mutex
	signals []SentSignal
	paused  bool // by Pause
}

// SentSignal is a signal that the harness sent to a process.
type SentSignal struct {
	Signal syscall.Signal
	After  time.Duration // since the start of the process
}

// Starter starts processes from one locked thread. With Pdeathsig the kernel kills a child when the thread that started it
// ends, so the children are killed when the harness ends and not earlier.
type Starter struct {
	requests chan func()
	group    errgroup.Group
}

// NewStarter returns a Starter, which must be closed.
func NewStarter() *Starter {
	if signal.Ignored(syscall.SIGHUP) { // as under nohup. Programs would inherit that, and a signal that ends one elsewhere would go unnoticed
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	}
	s := &Starter{requests: make(chan func())}
	s.group.Go(func() error {
		runtime.LockOSThread()
		for f := range s.requests {
			f()
		}
		return nil
	})
	return s
}

// Start starts a program in its own process group, so that an interrupt at the terminal reaches only the harness.
func (s *Starter) Start(dir, name, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create the log")
	}
	defer func() { _ = log.Close() }()
	p := &Process{Name: name, LogFile: log.Name(), cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	s.requests <- func() {
		p.startedAt = time.Now()
		started <- p.cmd.Start()
	}
	if err := <-started; err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	s.group.Go(func() error {
		p.err = p.cmd.Wait()
		p.endedAt = time.Now()
		close(p.done)
		return nil
	})
	return p, nil
}

// Close waits until all processes have exited. The caller must have stopped them.
func (s *Starter) Close() {
	close(s.requests)
	_ = s.group.Wait()
}

// ID returns the process id.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL.
func (p *Process) Kill() { p.signal(syscall.SIGKILL) }

// Terminate sends SIGTERM, which requests a graceful shutdown.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Interrupt sends SIGINT. A second one ends the process at once.
func (p *Process) Interrupt() { p.signal(syscall.SIGINT) }

// Hangup sends SIGHUP, on which a daemon reloads its settings.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Pause suspends the process until Resume.
func (p *Process) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (p *Process) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = false
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// signal sends a signal and records it, unless the process has exited.
func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd.Process.Signal(s) == nil {
		p.signals = append(p.signals, SentSignal{Signal: s, After: time.Since(p.startedAt)})
	}
}

// Signals returns the signals that the harness sent, except those of Pause, Resume and a share of a core.
func (p *Process) Signals() []SentSignal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.signals)
}

// StartedAt returns the time just before the process was started.
func (p *Process) StartedAt() time.Time { return p.startedAt }

// Exit returns how the process has exited and when. It must not be called while the process is running.
func (p *Process) Exit() (syscall.WaitStatus, time.Time) {
	return p.cmd.ProcessState.Sys().(syscall.WaitStatus), p.endedAt
}

// HasOutput reports whether the process has written anything.
func (p *Process) HasOutput() bool {
	info, err := os.Stat(p.LogFile)
	return err == nil && info.Size() > 0
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// WaitExit waits until the process has exited and returns its exit code.
func (p *Process) WaitExit(timeout time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, eris.Errorf("%s (process %d) is still running after %s", p.Name, p.ID(), timeout)
	}
}
