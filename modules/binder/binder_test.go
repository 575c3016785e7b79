package binder_test

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebelldyke/bluebelldyke/modules/binder"
)

// TestHeldAddress guards against a process that ends because its predecessor still holds an address, and against one that takes the
// address late, logs without a bound, or does not name the remedy.
func TestHeldAddress(t *testing.T) {
	for _, network := range []string{"tcp4", "udp4"} {
		t.Run(network, func(t *testing.T) {
			g := NewWithT(t)
			core, logs := observer.New(zap.InfoLevel)
			c := binder.Config{Bind: netip.MustParseAddrPort("127.0.0.1:0"), Network: network, Key: "entry.bind", Logger: zap.New(core)}
			listen := func(ctx context.Context) (interface{ Close() error }, netip.AddrPort, error) {
				if network == "tcp4" {
					l, err := binder.ListenTCP(ctx, c)
					if err != nil {
						return nil, netip.AddrPort{}, err
					}
					return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
				}
				u, err := binder.ListenUDP(ctx, c)
				if err != nil {
					return nil, netip.AddrPort{}, err
				}
				return u, u.LocalAddr().(*net.UDPAddr).AddrPort(), nil
			}
			holder, address, err := listen(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			c.Bind = address

			const heldFor = 400 * time.Millisecond
			began := time.Now()
			time.AfterFunc(heldFor, func() { _ = holder.Close() })
			successor, taken, err := listen(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(taken).To(Equal(address))
			g.Expect(time.Since(began)).To(BeNumerically("~", heldFor+150*time.Millisecond, 150*time.Millisecond))
			g.Expect(logs.FilterMessageSnippet("waiting").Len()).To(Equal(1))
			g.Expect(logs.All()[0].ContextMap()["error"]).To(And(ContainSubstring(address.String()), ContainSubstring("change entry.bind")))

			ctx, cancel := context.WithCancelCause(t.Context())
			stopped := eris.New("stopped")
			time.AfterFunc(100*time.Millisecond, func() { cancel(stopped) })
			_, _, err = listen(ctx)
			g.Expect(err).To(MatchError(stopped))
			g.Expect(successor.Close()).To(Succeed())
		})
	}
}

// TestUnavailable guards against a process that waits for what only other settings can cure, or that ends at what passes by itself.
func TestUnavailable(t *testing.T) {
	for cause, waits := range map[syscall.Errno]bool{
		syscall.EACCES: false, syscall.EAFNOSUPPORT: false, syscall.EADDRINUSE: true, syscall.EADDRNOTAVAIL: true, syscall.EMFILE: true, syscall.ENOBUFS: true,
	} {
		g := NewWithT(t)
		calls := 0
		c := binder.Config{Bind: netip.MustParseAddrPort("127.0.0.1:80"), Network: "tcp4", Key: "readiness.bind", Logger: zap.NewNop()}
		_, err := binder.Bind(t.Context(), c, func() (int, error) {
			if calls++; calls > 1 {
				return 1, nil
			}
			return 0, &net.OpError{Op: "listen", Err: cause}
		})
		if waits {
			g.Expect(err).NotTo(HaveOccurred(), cause.Error())
			continue
		}
		g.Expect(binder.IsErrUnavailable(err)).To(BeTrue(), cause.Error())
		g.Expect(err).To(MatchError(ContainSubstring("readiness.bind")))
	}
}
