package integration_test

import (
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
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

// heldSettings is a settings file that a starting daemon has to wait for.
type heldSettings struct {
	file    string
	content []byte
}

// holdSettings replaces the settings file of a daemon by a pipe.
func holdSettings(daemon *deployment.Daemon) heldSettings {
	h := heldSettings{file: daemon.SettingsFile()}
	var err error
	h.content, err = os.ReadFile(h.file)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.Remove(h.file)).To(Succeed())
	Expect(syscall.Mkfifo(h.file, 0o600)).To(Succeed())
	return h
}

// await waits until the daemon reads its settings. The returned function provides them.
func (h heldSettings) await() func() {
	var pipe *os.File
	Eventually(func() (err error) { // opening for writing fails while nothing reads
		pipe, err = os.OpenFile(h.file, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err
	}).WithTimeout(stepTimeout).WithPolling(time.Millisecond).Should(Succeed())
	return func() {
		Expect(os.WriteFile(h.file+".new", h.content, 0o600)).To(Succeed())
		Expect(os.Rename(h.file+".new", h.file)).To(Succeed())
		_, _ = pipe.Write(h.content) // fails if the process has ended, which the spec detects
		Expect(pipe.Close()).To(Succeed())
	}
}

var _ = Describe("the end of a process", func() {
	// Guards against a process whose log does not tell why it ended.
	It("is explained by the last line of the log", func() {
		d := startDeployment()
		d.Daemons[0].Terminate()
		expectEnd(d.Daemons[0], deployment.GracePeriod, 0, "terminated")
	})

	// Guards against a signal that ends a process by its default action because the daemon is not assembled yet. That takes longer on a
	// share of a core.
	DescribeTable("is not a signal during the start", func(run time.Duration) {
		d := startDeployment()
		daemon := d.Daemons[0]
		daemon.Terminate()
		expectEnd(daemon, deployment.GracePeriod, 0, "terminated")
		startAndSignal := func(send func()) {
			release := holdSettings(daemon)
			Expect(d.StartDaemon(daemon)).To(Succeed())
			if run > 0 {
				DeferCleanup(daemon.Throttle(run))
			}
			settings := release.await()
			send()
			sleep(50 * time.Millisecond)
			settings()
		}
		startAndSignal(func() { daemon.Terminate() })
		expectEnd(daemon, stepTimeout, 0, "terminated")
		startAndSignal(func() { daemon.Hangup() })
		Expect(d.WaitReady(len(d.Daemons))).To(Succeed())
		Expect(daemon.Running()).To(BeTrue())
		content, err := os.ReadFile(daemon.LogFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(ContainSubstring("SIGHUP received"))
	},
		Entry("on a core", time.Duration(0)),
		Entry("at 8.8% of a core", 8800*time.Microsecond),
		Entry("at 40% of a core", 40*time.Millisecond),
	)

	// Guards against flows that are cut off because a supervisor repeats SIGTERM, or because SIGHUP arrives during the drain.
	It("does not come before the drain when signals are repeated", func() {
		d := startDeployment()
		before := d.Outcomes()
		daemon := d.Daemons[0]
		began := time.Now()
		daemon.Terminate()
		for range 3 {
			sleep(100 * time.Millisecond)
			daemon.Terminate()
			daemon.Hangup()
		}
		expectEnd(daemon, deployment.GracePeriod, 0, "terminated")
		Expect(time.Since(began)).To(BeNumerically(">", 500*time.Millisecond))
		after := d.Outcomes()
		Expect(after.Failed + after.Unopened + after.Resets - before.Failed - before.Unopened - before.Resets).To(BeZero())
	})

	// Guards against a process that an operator cannot end while it drains.
	It("comes at once with a second SIGINT", func() {
		d := startDeployment()
		d.ForbidResets.Store(false)
		daemon := d.Daemons[0]
		daemon.Interrupt()
		sleep(100 * time.Millisecond)
		Expect(daemon.Running()).To(BeTrue())
		daemon.Interrupt()
		expectEnd(daemon, time.Second, 1, "failed")
		Expect(readEnd(daemon).Error).To(ContainSubstring("interrupt signal received"))
	})

	// Guards against a process that ends because the platform is still writing its settings file, and against one that waits for ever for
	// valid settings.
	It("is not a settings file that is incomplete for half a second", func() {
		d := startDeployment()
		daemon := d.Daemons[0]
		content, err := os.ReadFile(daemon.SettingsFile())
		Expect(err).NotTo(HaveOccurred())
		write := func(content []byte) { Expect(os.WriteFile(daemon.SettingsFile(), content, 0o600)).To(Succeed()) }
		stop := func() {
			daemon.Terminate()
			expectEnd(daemon, deployment.GracePeriod, 0, "terminated")
		}
		for _, incomplete := range []func(){
			func() { Expect(os.Remove(daemon.SettingsFile())).To(Succeed()) },
			func() { write(nil) },
			func() { write(content[:len(content)/2]) },
		} {
			stop()
			incomplete()
			Expect(d.StartDaemon(daemon)).To(Succeed())
			sleep(500 * time.Millisecond)
			write(content)
			Expect(d.WaitReady(len(d.Daemons))).To(Succeed())
		}
		stop()
		write(content[:len(content)/2])
		Expect(d.StartDaemon(daemon)).To(Succeed())
		expectEnd(daemon, stepTimeout, 2, "failed")
		Expect(readEnd(daemon).Error).To(ContainSubstring("correct the TOML syntax"))
	})

	// Guards against a process that does not end because nothing reads its output.
	It("does not wait for a blocked output", func() {
		reader, writer, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = reader.Close() }()
		Expect(writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err = writer.Write(make([]byte, 1<<20))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded), "the pipe is full")
		command := exec.Command(filepath.Join(binaries, "bluebelldyke"), "direct", "--config", filepath.Join(GinkgoT().TempDir(), "absent.toml"))
		command.Stdout, command.Stderr = writer, writer
		Expect(command.Start()).To(Succeed())
		Expect(writer.Close()).To(Succeed())
		deadline := time.AfterFunc(stepTimeout, func() { _ = command.Process.Kill() })
		defer deadline.Stop()
		Expect(command.Wait()).To(MatchError("exit status 2"))
	})

	// Guards against a process that ends because the reader of its log is gone.
	It("is not a log output without a reader", func() {
		d := startDeployment()
		old := d.Daemons[0]
		old.Terminate()
		expectEnd(old, deployment.GracePeriod, 0, "terminated")
		reader, writer, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		command := exec.Command(filepath.Join(binaries, "bluebelldyke"), "direct", "--config", old.SettingsFile())
		command.Stdout, command.Stderr = writer, writer
		Expect(command.Start()).To(Succeed())
		Expect(writer.Close()).To(Succeed())
		deadline := time.AfterFunc(stepTimeout, func() { _ = command.Process.Kill() })
		defer deadline.Stop()
		_, err = reader.Read(make([]byte, 1)) // the daemon has started
		Expect(err).NotTo(HaveOccurred())
		Expect(reader.Close()).To(Succeed())
		Expect(d.WaitReady(len(d.Daemons))).To(Succeed())
		for range 3 {
			Expect(command.Process.Signal(syscall.SIGHUP)).To(Succeed()) // each one writes a line
			sleep(50 * time.Millisecond)
		}
		Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(command.Wait()).To(Succeed())
	})

	// Guards against a process that ends because its predecessor, which drains, still holds the addresses.
	It("is not an address that the draining predecessor holds", func() {
		d := startDeployment()
		before := d.Outcomes()
		predecessor, successor := d.Daemons[0], *d.Daemons[0]
		successor.Name += "-successor"
		predecessor.Terminate()
		Expect(d.StartDaemon(&successor)).To(Succeed())
		expectEnd(predecessor, deployment.GracePeriod, 0, "terminated")
		d.Daemons[0] = &successor
		Expect(d.WaitReady(len(d.Daemons))).To(Succeed())
		Expect(successor.Running()).To(BeTrue())
		content, err := os.ReadFile(successor.LogFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(ContainSubstring("end the process that uses it or change entry.bind"))
		sleep(time.Second)
		after := d.Outcomes()
		Expect(after.Failed + after.Unopened + after.Resets - before.Failed - before.Unopened - before.Resets).To(BeZero())
	})

	// Guards against a process that ends, or that cannot be stopped, while something else holds one of its addresses.
	DescribeTable("is not an address that another process holds", func(hold func(*deployment.Daemon) io.Closer, needed bool) {
		d := startDeployment()
		daemon := d.Daemons[0]
		for _, stopWhileHeld := range []bool{true, false} {
			daemon.Terminate()
			expectEnd(daemon, deployment.GracePeriod, 0, "terminated")
			holder := hold(daemon)
			Expect(d.StartDaemon(daemon)).To(Succeed())
			sleep(500 * time.Millisecond)
			Expect(daemon.Running()).To(BeTrue())
			if !needed {
				Expect(d.WaitReady(len(d.Daemons))).To(Succeed())
			}
			if stopWhileHeld {
				daemon.Terminate()
				expectEnd(daemon, deployment.GracePeriod, 0, "terminated")
				Expect(d.StartDaemon(daemon)).To(Succeed())
			}
			Expect(holder.Close()).To(Succeed())
			Expect(d.WaitReady(len(d.Daemons))).To(Succeed())
		}
	},
		Entry("entry", func(d *deployment.Daemon) io.Closer { return holdDatagrams(d.EntryAddress) }, true),
		Entry("peer", func(d *deployment.Daemon) io.Closer { return holdDatagrams(d.PeerAddress) }, true),
		Entry("readiness", func(d *deployment.Daemon) io.Closer { return holdStreams(d.ReadinessAddress()) }, true),
		Entry("operator", func(d *deployment.Daemon) io.Closer { return holdStreams(d.OperatorAddress) }, false),
	)
})

func holdDatagrams(address netip.AddrPort) io.Closer {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func holdStreams(address netip.AddrPort) io.Closer {
	listener, err := net.Listen("tcp4", address.String())
	Expect(err).NotTo(HaveOccurred())
	return listener
}
