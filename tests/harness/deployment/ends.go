package deployment

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
)

const (
	// lastLineCount is the number of lines of a process's output that a report shows if there is no stack.
	lastLineCount = 5
	maxStackLines = 30
)

// End is the end of a daemon process.
type End struct {
	Daemon  string
	LogFile string
	Status  syscall.WaitStatus
	After   time.Duration // since the start of the process
	Signals []harness.SentSignal
	// Output is the stack that the process has written, or its last lines.
	Output []string
	// WasReady reports whether the process had become ready to serve.
	WasReady bool
	Raced    bool // the race detector has reported a data race
}

// IsPlanned reports whether the end is what the signals ask for: SIGKILL ends a process, and SIGTERM makes it exit with 0. A process that was
// not ready yet may also end by SIGTERM itself, because it serves no flows. No other signal may end a process.
func (e *End) IsPlanned() bool {
	switch {
	case e.Status.Signaled() && e.Status.Signal() == syscall.SIGKILL:
		return e.wasSent(syscall.SIGKILL)
	case e.Status.Signaled() && e.Status.Signal() == syscall.SIGTERM:
		return e.wasSent(syscall.SIGTERM) && !e.WasReady
	case e.Status.Exited() && e.Status.ExitStatus() == 0:
		return e.wasSent(syscall.SIGTERM)
	}
	return false
}

// IsExplained reports whether a process that has exited states the cause on its last line.
func (e *End) IsExplained() bool {
	return e.Status.Signaled() || (len(e.Output) > 0 && lastLine.MatchString(e.Output[len(e.Output)-1]))
}

var lastLine = regexp.MustCompile(`"msg":"daemon ends","cause":"[^"]`)

func (e *End) wasSent(s syscall.Signal) bool {
	for _, sent := range e.Signals {
		if sent.Signal == s {
			return true
		}
	}
	return false
}

// Cause returns how the process has ended and the line of its output that says why, without numbers that differ from run to run.
func (e *End) Cause() string {
	line := ""
	switch {
	case e.Status.Signaled() && e.WasReady: // the output says nothing about a signal
		line = "of a process that was ready"
	case e.Status.Signaled():
		line = "of a process that was not ready"
	case len(e.Output) > 0:
		line = e.Output[len(e.Output)-1]
		if isStackStart(e.Output[0]) {
			line = e.Output[0] + ", in " + firstOwnFrame(e.Output)
		}
	}
	return e.status() + ": " + variableDigits.ReplaceAllString(line, "N")
}

var variableDigits = regexp.MustCompile(`\d+(\.\d+)*(e[+-]?\d+)?`)

func (e *End) status() string {
	if e.Status.Signaled() {
		return "signal " + e.Status.Signal().String()
	}
	return fmt.Sprint("exit status ", e.Status.ExitStatus())
}

// String describes the end in one line.
func (e *End) String() string {
	var sent []string
	for _, s := range e.Signals {
		sent = append(sent, fmt.Sprintf("%s after %s", s.Signal, s.After.Round(100*time.Microsecond)))
	}
	ready := "not ready"
	if e.WasReady {
		ready = "ready"
	}
	return fmt.Sprintf("%s ended with %s after %s, %s, signals sent: [%s], output in %s", e.Daemon, e.status(), e.After.Round(100*time.Microsecond), ready,
		strings.Join(sent, ", "), e.LogFile)
}

// newEnd returns the end of a process that has exited.
func newEnd(daemon string, p *harness.Process) *End {
	status, at := p.Exit()
	e := &End{Daemon: daemon, LogFile: p.LogFile, Status: status, After: at.Sub(p.StartedAt()), Signals: p.Signals()}
	content, err := os.ReadFile(p.LogFile)
	if err != nil {
		e.Output = []string{err.Error()}
		return e
	}
	_, e.WasReady = readyTime(string(content))
	e.Raced = strings.Contains(string(content), "WARNING: DATA RACE")
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	for i, line := range lines {
		if isStackStart(line) {
			e.Output = lines[i:min(len(lines), i+maxStackLines)]
			return e
		}
	}
	e.Output = lines[max(0, len(lines)-lastLineCount):]
	return e
}

func isStackStart(line string) bool {
	for _, prefix := range []string{"panic: ", "fatal error: ", "SIGSEGV", "SIGABRT", "ThreadSanitizer", "==", "runtime: "} {
		if strings.HasPrefix(line, prefix) {
			return true
		}
	}
	return false
}

// firstOwnFrame returns the first function of this module in a stack.
func firstOwnFrame(stack []string) string {
	const module = "github.com/bluebelldyke/bluebelldyke/"
	for _, line := range stack {
		if rest, ok := strings.CutPrefix(line, module); ok {
			return rest[:max(strings.LastIndexByte(rest, '('), 0)]
		}
	}
	return "no function of the module"
}

// readyLine is the log line of a daemon that has become ready, with its time.
var readyLine = regexp.MustCompile(`"ts":([0-9.e+]+)[^\n]*"daemon is ready"`)

// readyTime returns when a process became ready according to its output.
func readyTime(output string) (time.Time, bool) {
	match := readyLine.FindStringSubmatch(output)
	if match == nil {
		return time.Time{}, false
	}
	seconds, err := strconv.ParseFloat(match[1], 64)
	return time.UnixMicro(int64(seconds * 1e6)), err == nil
}
