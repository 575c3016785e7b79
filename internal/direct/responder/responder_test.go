package responder_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/responder"
)

// TestReadiness guards against a daemon that is in rotation although it is not ready, against refusals that are not counted (a stopping
// daemon ends after the fabric has seen two), against a metrics address that answers readiness checks, and against a daemon that does not
// start because its metrics address is taken, or that does not take it when it is free.
func TestReadiness(t *testing.T) {
	g := NewWithT(t)
	freePort := netip.MustParseAddrPort("127.0.0.1:0")
	page := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	listen := func() net.Listener {
		l, err := net.Listen("tcp4", freePort.String())
		g.Expect(err).NotTo(HaveOccurred())
		return l
	}
	readiness := listen()
	r := responder.New(responder.Config{Readiness: readiness, MetricsBind: freePort, MetricsPage: page, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return r.Run(ctx) })
	g.Eventually(r.MetricsAddress).ShouldNot(Equal(r.ReadinessAddress()))
	get := func(address netip.AddrPort, path string) int {
		client := http.Client{Timeout: 5 * time.Second}
		response, err := client.Get("http://" + address.String() + path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		return response.StatusCode
	}
	check := func() int { return get(r.ReadinessAddress(), "/readiness") }
	g.Expect(get(r.ReadinessAddress(), "/metrics")).To(Equal(http.StatusTeapot))
	g.Expect(get(r.MetricsAddress(), "/metrics")).To(Equal(http.StatusTeapot))
	g.Expect(get(r.MetricsAddress(), "/readiness")).To(Equal(http.StatusNotFound))
	g.Expect(check()).To(Equal(http.StatusServiceUnavailable))
	r.SetReady(true)
	g.Expect(check()).To(Equal(http.StatusOK))
	r.SetReady(false)
	g.Expect(check()).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.Refusals()).To(Equal(uint64(2)))

	core, logs := observer.New(zap.WarnLevel)
	holder := listen()
	held := holder.Addr().(*net.TCPAddr).AddrPort()
	other := responder.New(responder.Config{Readiness: listen(), MetricsBind: held, MetricsPage: page, Logger: zap.New(core)})
	group.Go(func() error { return other.Run(ctx) })
	g.Eventually(logs.Len).Should(Equal(1))
	g.Expect(logs.All()[0].ContextMap()["error"]).To(ContainSubstring("change metrics.bind"))
	g.Expect(get(other.ReadinessAddress(), "/metrics")).To(Equal(http.StatusTeapot), "a taken metrics address must not keep a daemon from forwarding")
	g.Expect(other.MetricsAddress()).To(Equal(other.ReadinessAddress()))
	g.Expect(holder.Close()).To(Succeed())
	g.Eventually(other.MetricsAddress).Should(Equal(held))
	g.Expect(get(held, "/metrics")).To(Equal(http.StatusTeapot))

	g.Expect(readiness.Close()).To(Succeed())
	g.Eventually(func() error {
		conn, err := net.Dial("tcp4", r.ReadinessAddress().String())
		if err == nil {
			err = conn.Close()
		}
		return err
	}).Should(Succeed(), "a listener that was closed must be opened again")
	g.Expect(check()).To(Equal(http.StatusServiceUnavailable))
	cancel()
	g.Expect(group.Wait()).To(Succeed())
}
