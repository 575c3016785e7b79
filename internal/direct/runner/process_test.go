package runner

import (
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
)

// TestSecondInterrupt guards against a process that a second SIGINT does not end because a part of it never returns, here the read of a
// settings file that is a pipe without a writer.
func TestSecondInterrupt(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "direct.toml")
	g.Expect(syscall.Mkfifo(file, 0o600)).To(Succeed())
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGINT
	signals <- syscall.SIGINT
	ended := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		ended <- Run(t.Context(), Config{File: file, Signals: signals, ExitStatus: func(error) int { return 1 }})
		return nil
	})
	g.Eventually(ended).WithTimeout(2 * time.Second).Should(Receive(MatchError(ContainSubstring("interrupt signal received"))))
	writer, err := os.OpenFile(file, os.O_RDWR, 0) // ends the read
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writer.Close()).To(Succeed())
	g.Expect(group.Wait()).To(Succeed())
}

// TestIncarnationOfWaitingProcess guards against a daemon that its peers ignore: of two processes that wait for the addresses of a predecessor, the
// one that started first may get them last, and its peers know a higher incarnation at its address by then.
func TestIncarnationOfWaitingProcess(t *testing.T) {
	g := NewWithT(t)
	free := netip.MustParseAddrPort("127.0.0.1:0")
	holder, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(free))
	g.Expect(err).NotTo(HaveOccurred())
	s := loader.Settings{EntryBind: free, ReadinessBind: free}
	s.Peer.Bind = holder.LocalAddr().(*net.UDPAddr).AddrPort()
	var released time.Time
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(150 * time.Millisecond)
		released = time.Now()
		return holder.Close()
	})
	bound, err := bind(t.Context(), s, zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(group.Wait()).To(Succeed())
	g.Expect(bound.at).To(BeTemporally(">=", released))
	g.Expect(bound.entry.Close()).To(Succeed())
	g.Expect(bound.readiness.Close()).To(Succeed())
	g.Expect(bound.peer.Close()).To(Succeed())
}
