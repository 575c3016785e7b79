package supervisor_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/supervisor"
)

// TestErrors guards against the error of one component that ends the daemon, and against one that fails at once in a busy loop.
func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		core, logs := observer.New(zap.InfoLevel)
		s, err := supervisor.New(supervisor.Config{Logger: zap.New(core), Meter: noop.Meter{}})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		starts := 0
		g.Expect(s.Run(ctx, supervisor.Component{Name: "store", Run: func(context.Context) error {
			starts++
			return eris.New("no descriptors")
		}})).To(Succeed())
		g.Expect(ctx.Err()).To(HaveOccurred(), "it goes on until the daemon stops")
		g.Expect(starts).To(BeNumerically("~", 20, 5))
		g.Expect(s.Failures("store")).To(Equal(int64(starts)))
		g.Expect(logs.All()[0].ContextMap()).To(And(HaveKeyWithValue("component", "store"), HaveKeyWithValue("error", "no descriptors")))
	})
}

// TestPanics guards against a panic that ends the process without a cause on its last line, also while it holds a lock of the component, and
// against a component without state that is not started again.
func TestPanics(t *testing.T) {
	g := NewWithT(t)
	s, err := supervisor.New(supervisor.Config{Logger: zap.NewNop(), Meter: noop.Meter{}})
	g.Expect(err).NotTo(HaveOccurred())
	var mu sync.Mutex
	err = s.Run(t.Context(), supervisor.Component{Name: "transporter", Run: func(ctx context.Context) error {
		group, ctx := errgroup.WithContext(ctx)
		group.Go(supervisor.Guard(ctx, func() error {
			mu.Lock()
			panic("odd input")
		}))
		group.Go(supervisor.Guard(ctx, func() error {
			time.Sleep(time.Millisecond)
			mu.Lock()
			return nil
		}))
		return group.Wait()
	}})
	mu.Unlock() // ends the second goroutine
	g.Expect(supervisor.IsErrPanic(err)).To(BeTrue())
	g.Expect(err).To(MatchError("component transporter: panic: odd input"))
	var p *supervisor.ErrPanic
	g.Expect(eris.As(err, &p)).To(BeTrue())
	g.Expect(string(p.Stack)).To(ContainSubstring("TestPanics"))

	starts := 0
	g.Expect(s.Run(t.Context(), supervisor.Component{Name: "responder", Stateless: true, Run: func(context.Context) error {
		if starts++; starts == 1 {
			panic("odd request")
		}
		return nil
	}})).To(Succeed())
	g.Expect(starts).To(Equal(2))
}
