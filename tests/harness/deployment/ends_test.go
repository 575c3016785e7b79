package deployment

import (
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
)

// Wait statuses as Linux encodes them.
func exited(code int) syscall.WaitStatus           { return syscall.WaitStatus(code << 8) }
func signaled(s syscall.Signal) syscall.WaitStatus { return syscall.WaitStatus(s) }
func sent(signals ...syscall.Signal) (list []harness.SentSignal) {
	for _, s := range signals {
		list = append(list, harness.SentSignal{Signal: s})
	}
	return list
}

// TestPlannedEnds guards against a check that takes the end of a process by itself for a planned one.
func TestPlannedEnds(t *testing.T) {
	g := NewWithT(t)
	for name, c := range map[string]struct {
		end     End
		planned bool
	}{
		"killed":                               {End{Status: signaled(syscall.SIGKILL), Signals: sent(syscall.SIGKILL)}, true},
		"killed while it drains":               {End{Status: signaled(syscall.SIGKILL), Signals: sent(syscall.SIGTERM, syscall.SIGKILL), WasReady: true}, true},
		"killed by another":                    {End{Status: signaled(syscall.SIGKILL), Signals: sent(syscall.SIGTERM)}, false},
		"stopped":                              {End{Status: exited(0), Signals: sent(syscall.SIGTERM), WasReady: true}, true},
		"stopped, told twice":                  {End{Status: exited(0), Signals: sent(syscall.SIGTERM, syscall.SIGTERM), WasReady: true}, true},
		"exit without a signal":                {End{Status: exited(0)}, false},
		"exit after a hangup":                  {End{Status: exited(0), Signals: sent(syscall.SIGHUP)}, false},
		"error":                                {End{Status: exited(1)}, false},
		"panic while it drains":                {End{Status: exited(2), Signals: sent(syscall.SIGTERM), WasReady: true}, false},
		"ended by SIGTERM before it was ready": {End{Status: signaled(syscall.SIGTERM), Signals: sent(syscall.SIGTERM)}, true},
		"ended by SIGTERM while it serves":     {End{Status: signaled(syscall.SIGTERM), Signals: sent(syscall.SIGTERM, syscall.SIGTERM), WasReady: true}, false},
		"ended by SIGHUP":                      {End{Status: signaled(syscall.SIGHUP), Signals: sent(syscall.SIGHUP)}, false},
		"aborted":                              {End{Status: signaled(syscall.SIGABRT), Signals: sent(syscall.SIGTERM)}, false},
	} {
		g.Expect(c.end.IsPlanned()).To(Equal(c.planned), name)
	}
}
