package integration_test

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
)

// endLine is the last line that a daemon in direct server return mode writes.
type endLine struct {
	Message    string `json:"msg"`
	Cause      string `json:"cause"`
	ExitStatus *int   `json:"exit-status"`
	Error      string `json:"error"`
}

// readEnd returns the last log line of a daemon.
func readEnd(daemon *deployment.Daemon) endLine {
	content, err := os.ReadFile(daemon.LogFile)
	Expect(err).NotTo(HaveOccurred())
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	var last endLine
	Expect(json.Unmarshal([]byte(lines[len(lines)-1]), &last)).To(Succeed(), lines[len(lines)-1])
	return last
}

// expectEnd waits for the end of the daemon and expects its exit status and the cause on its last line.
func expectEnd(daemon *deployment.Daemon, timeout time.Duration, status int, cause string) {
	code, err := daemon.WaitExit(timeout)
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(Equal(status))
	last := readEnd(daemon)
	Expect(last.Message).To(Equal("daemon ends"))
	Expect(last.Cause).To(ContainSubstring(cause))
	Expect(last.ExitStatus).To(HaveValue(Equal(status)))
}

var _ = Describe("the end of a process", func() {
	// Guards against a process whose log does not tell why it ended.
	It("is explained by the last line of the log", func() {
		d := startDeployment()
		d.Daemons[0].Terminate()
		expectEnd(d.Daemons[0], deployment.GracePeriod, 0, "terminated")
	})
})
