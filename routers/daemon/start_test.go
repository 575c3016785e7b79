package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
)

// startSettings returns process settings whose peer, operator and metrics addresses this test holds, and functions that release them.
func startSettings(t *testing.T) (s configurer.Settings, release map[string]func()) {
	g := NewWithT(t)
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/settings") {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.URL.Query().Get("after") == "1" {
			time.Sleep(10 * time.Millisecond)
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("X-Revision", "1")
		fmt.Fprint(w, twoServices)
	}))
	t.Cleanup(platform.Close)
	release = map[string]func(){}
	hold := func(name string) netip.AddrPort {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		release[name] = func() { _ = l.Close() }
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
	s = configurer.Settings{AvailabilityZone: "souillac", Platform: configurer.Platform{URL: platform.URL}, Stop: configurer.Stop{Grace: time.Second}}
	s.Log.Level = "error"
	pid := os.Getpid() // no other process on this machine uses the address
	s.Entry = configurer.Entry{IP: netip.AddrFrom4([4]byte{127, 83, byte(pid >> 8), byte(pid) | 1}), Bind: configurer.EntryIP}
	s.Peer.Bind = hold("peer")
	s.Peer.Advertise = s.Peer.Bind
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Peer.Bind))
	g.Expect(err).NotTo(HaveOccurred())
	release["peer datagrams"] = func() { _ = udp.Close() }
	s.Operator.Bind, s.Metrics.Bind = hold("operator"), hold("metrics")
	return s, release
}

// TestHeldAddresses guards against a daemon that ends at its start because its predecessor still holds an address.
func TestHeldAddresses(t *testing.T) {
	g := NewWithT(t)
	s, release := startSettings(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		ended <- Run(ctx, s)
		return nil
	})
	for _, name := range []string{"peer datagrams", "peer", "operator", "metrics"} {
		g.Consistently(ended, 150*time.Millisecond).ShouldNot(Receive(), "before %s is free", name)
		release[name]()
	}
	g.Eventually(func() string {
		response, err := http.Get("http://" + s.Metrics.Bind.String() + "/healthz")
		if err != nil {
			return err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		body, _ := io.ReadAll(response.Body)
		return string(body)
	}).WithTimeout(5 * time.Second).Should(Equal("serving\n"))
	cancel()
	g.Eventually(ended, 6*time.Second).Should(Receive(BeNil()))
	g.Expect(group.Wait()).To(Succeed())
}

// TestStopWhileWaiting guards against a daemon that does not stop, or that reports a failure, while it waits for an address.
func TestStopWhileWaiting(t *testing.T) {
	g := NewWithT(t)
	s, release := startSettings(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	g.Expect(Run(ctx, s)).To(Succeed())
	release["peer datagrams"]()
	release["peer"]()
	ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	g.Expect(Run(ctx, s)).To(Succeed())
}
