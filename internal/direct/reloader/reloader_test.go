package reloader_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/reloader"
)

const example = "../../../custom/conf/direct.example.toml"

// TestReload guards against a daemon that ends on SIGHUP, that takes invalid settings, or that misses changed ones.
func TestReload(t *testing.T) {
	g := NewWithT(t)
	content, err := os.ReadFile(example)
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(t.TempDir(), "direct.toml")
	write := func(text string) { g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed()) }
	write(string(content))

	core, lines := observer.New(zapcore.InfoLevel)
	applied := make(chan loader.Settings, 4)
	r := reloader.New(reloader.Config{File: file, Logger: zap.New(core), Apply: func(s loader.Settings) { applied <- s }})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return r.Run(ctx) })
	t.Cleanup(func() { cancel(); g.Expect(group.Wait()).To(Succeed()) })
	hangUp := func(times int) {
		g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		g.Eventually(func() int { return lines.FilterMessage("signal to read the settings again").Len() }).Should(Equal(times))
	}

	hangUp(1)
	g.Consistently(applied, 50*time.Millisecond).ShouldNot(Receive(), "nothing has changed")

	write("name = 7")
	hangUp(2)
	g.Eventually(func() int { return lines.FilterMessageSnippet("invalid: the earlier ones stay in force").Len() }).Should(Equal(1))

	g.Expect(os.Remove(file)).To(Succeed())
	hangUp(3)
	g.Eventually(func() int { return lines.FilterMessageSnippet("not read again").Len() }).Should(Equal(1))
	g.Expect(applied).NotTo(Receive())

	write(strings.Replace(string(content), `seeds = ["10.1.0.10:8166", `, `seeds = ["10.9.0.10:8166", `, 1))
	hangUp(4)
	var s loader.Settings
	g.Eventually(applied).Should(Receive(&s))
	g.Expect(s.Peer.Seeds[0].String()).To(Equal("10.9.0.10:8166"))
}
