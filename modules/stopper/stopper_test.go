package stopper_test

import (
	"context"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/stopper"
)

// TestSignals guards against a signal that is lost because it arrives before the daemon is assembled, against a repeated SIGTERM that cuts
// the shutdown short, and against a process that a second SIGINT does not end.
func TestSignals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		signals := make(chan os.Signal, 8)
		signals <- syscall.SIGHUP
		signals <- syscall.SIGHUP
		s := stopper.New(t.Context(), signals)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return s.Run(ctx) })
		synctest.Wait()

		var reloads atomic.Int32
		s.OnReload(func() { reloads.Add(1) })
		g.Expect(reloads.Load()).To(Equal(int32(1)))
		signals <- syscall.SIGHUP
		synctest.Wait()
		g.Expect(reloads.Load()).To(Equal(int32(2)))
		g.Expect(s.Stopping().Err()).NotTo(HaveOccurred())

		core, logs := observer.New(zap.InfoLevel)
		s.SetLogger(zap.New(core))
		signals <- syscall.SIGTERM
		synctest.Wait()
		g.Expect(context.Cause(s.Stopping())).To(MatchError("terminated signal received"))
		g.Expect(stopper.IsErrSignal(context.Cause(s.Stopping()))).To(BeTrue())
		signals <- syscall.SIGTERM
		signals <- syscall.SIGHUP
		signals <- syscall.SIGINT
		synctest.Wait()
		g.Expect(s.Aborting().Err()).NotTo(HaveOccurred())
		g.Expect(logs.FilterMessageSnippet("shutdown goes on").Len()).To(Equal(2))
		signals <- syscall.SIGINT
		synctest.Wait()
		g.Expect(context.Cause(s.Aborting())).To(MatchError("interrupt signal received"))
		cancel()
		g.Expect(group.Wait()).To(Succeed())
	})
}
