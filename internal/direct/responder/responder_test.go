package responder_test

import (
	"context"
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
// start because its metrics address is taken.
func TestReadiness(t *testing.T) {
	g := NewWithT(t)
	freePort := netip.MustParseAddrPort("127.0.0.1:0")
	page := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	r, err := responder.New(responder.Config{ReadinessBind: freePort, MetricsBind: freePort, MetricsPage: page, Logger: zap.NewNop()})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return r.Run(ctx) })
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

	_, err = responder.New(responder.Config{ReadinessBind: r.ReadinessAddress(), Logger: zap.NewNop()})
	g.Expect(err).To(MatchError(ContainSubstring("change readiness.bind")))
	core, logs := observer.New(zap.WarnLevel)
	withoutMetricsAddress, err := responder.New(responder.Config{ReadinessBind: freePort, MetricsBind: r.MetricsAddress(), MetricsPage: page, Logger: zap.New(core)})
	g.Expect(err).NotTo(HaveOccurred(), "a taken metrics address must not keep a daemon from forwarding")
	g.Expect(withoutMetricsAddress.MetricsAddress()).To(Equal(withoutMetricsAddress.ReadinessAddress()))
	g.Expect(logs.All()).To(HaveLen(1))
	g.Expect(logs.All()[0].ContextMap()["error"]).To(ContainSubstring("change metrics.bind"))
	cancel()
	g.Expect(group.Wait()).To(Succeed())
}
