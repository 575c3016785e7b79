package runner

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
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
