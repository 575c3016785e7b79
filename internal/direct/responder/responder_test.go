package responder_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/responder"
)

// TestReadiness guards against a daemon in rotation that is not ready, and against refusals that are not counted: a
// stopping daemon ends after the fabric has seen two.
func TestReadiness(t *testing.T) {
	g := NewWithT(t)
	r, err := responder.New(netip.MustParseAddrPort("127.0.0.1:0"), nil, zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return r.Run(ctx) })
	check := func() int {
		client := http.Client{Timeout: 5 * time.Second}
		response, err := client.Get("http://" + r.Address().String() + "/readiness")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		return response.StatusCode
	}
	g.Expect(check()).To(Equal(http.StatusServiceUnavailable))
	r.SetReady(true)
	g.Expect(check()).To(Equal(http.StatusOK))
	r.SetReady(false)
	g.Expect(check()).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.Refused()).To(Equal(uint64(2)))

	_, err = responder.New(r.Address(), nil, zap.NewNop())
	g.Expect(err).To(MatchError(ContainSubstring("change readiness.bind")))
	cancel()
	g.Expect(group.Wait()).To(Succeed())
}
