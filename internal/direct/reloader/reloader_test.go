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
	"github.com/bluebelldyke/bluebelldyke/modules/signaler"
	"github.com/bluebelldyke/bluebelldyke/modules/stopper"
)

const example = "../../../custom/conf/direct.example.toml"

// TestReload guards against a daemon that ends on SIGHUP, that applies invalid settings, or that does not apply changed ones.
func TestReload(t *testing.T) {
	g := NewWithT(t)
	content, err := os.ReadFile(example)
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(t.TempDir(), "direct.toml")
	write := func(text string) { g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed()) }
	write(string(content))

	core, logs := observer.New(zapcore.InfoLevel)
	applied := make(chan loader.Settings, 4)
	r := reloader.New(reloader.Config{File: file, Content: content, Logger: zap.New(core), Apply: func(s loader.Settings) { applied <- s }})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	signals := stopper.New(ctx, signaler.Signals())
	signals.OnReload(r.Reload)
	group.Go(func() error { return signals.Run(ctx) })
	group.Go(func() error { return r.Run(ctx) })
	t.Cleanup(func() { cancel(); g.Expect(group.Wait()).To(Succeed()) })
	sendHangup := func(count int) {
		g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		g.Eventually(func() int { return logs.FilterMessage("SIGHUP received: reloading the settings").Len() }).Should(Equal(count))
	}

	sendHangup(1)
	g.Consistently(applied, 50*time.Millisecond).ShouldNot(Receive(), "settings without a change must not be applied")

	write("name = 7")
	sendHangup(2)
	g.Eventually(func() int { return logs.FilterMessageSnippet("invalid: the earlier settings stay in force").Len() }).Should(Equal(1))

	g.Expect(os.Remove(file)).To(Succeed())
	sendHangup(3)
	g.Eventually(func() int { return logs.FilterMessageSnippet("not readable: the earlier settings stay in force").Len() }).Should(Equal(1))
	g.Expect(applied).NotTo(Receive())

	write(strings.Replace(string(content), `seeds = ["10.1.0.10:8166", `, `seeds = ["10.9.0.10:8166", `, 1))
	sendHangup(4)
	var s loader.Settings
	g.Eventually(applied).Should(Receive(&s))
	g.Expect(s.Peer.Seeds[0].String()).To(Equal("10.9.0.10:8166"))
}
