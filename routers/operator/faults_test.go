package operator_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/routers/operator"
)

// run runs a server until the test ends, which fails if Run returns earlier.
func run(t *testing.T, server *operator.Server) {
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		err := server.Run(ctx)
		if ctx.Err() == nil {
			t.Errorf("the server ended: %v", err)
		}
		return nil
	})
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
}

// expectStatus fails unless the server answers a query.
func expectStatus(t *testing.T, address netip.AddrPort) {
	t.Helper()
	g := NewWithT(t)
	g.Eventually(func() error {
		client, err := operator.Dial(t.Context(), address)
		if err != nil {
			return err
		}
		defer func() { _ = client.Close() }()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = client.Status(ctx)
		return err
	}).WithTimeout(5 * time.Second).Should(Succeed())
}

// shortListener is a listener whose first calls of Accept fail because the process has no descriptors left.
type shortListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestNoDescriptors guards against a daemon that ends because no connection of an operator can be accepted.
func TestNoDescriptors(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", loopback.String())
	g.Expect(err).NotTo(HaveOccurred())
	short := &shortListener{Listener: listener}
	short.failures.Store(3)
	f := newFakeSource()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	run(t, operator.New(operator.Config{Listener: short, Bind: address, Status: f, Audit: f, Logger: zap.NewNop()}))
	expectStatus(t, address)
}

// TestHeldAddress guards against a daemon that ends because another process, such as its predecessor, holds the operator address.
func TestHeldAddress(t *testing.T) {
	g := NewWithT(t)
	holder, err := net.Listen("tcp", loopback.String())
	g.Expect(err).NotTo(HaveOccurred())
	address := holder.Addr().(*net.TCPAddr).AddrPort()
	f := newFakeSource()
	run(t, operator.New(operator.Config{Bind: address, Status: f, Audit: f, Logger: zap.NewNop()}))
	time.Sleep(100 * time.Millisecond)
	g.Expect(holder.Close()).To(Succeed())
	expectStatus(t, address)
}

// panickingSource is a StatusSource that fails on its first calls.
type panickingSource struct {
	fakeSource
	calls *atomic.Int32
}

func (p panickingSource) Status() operator.Status {
	if p.calls.Add(1) <= 2 {
		panic("status")
	}
	return p.status
}

// TestPanic guards against a daemon that ends because a query fails.
func TestPanic(t *testing.T) {
	g := NewWithT(t)
	f := newFakeSource()
	contained, err := recoverer.New(recoverer.Config{Logger: zap.NewNop(), Meter: noop.Meter{}})
	g.Expect(err).NotTo(HaveOccurred())
	server := operator.New(operator.Config{
		Bind: loopback, Status: panickingSource{f, &atomic.Int32{}}, Audit: f, Logger: zap.NewNop(), Recoverer: contained,
	})
	run(t, server)
	g.Eventually(server.Address).Should(Satisfy(netip.AddrPort.IsValid))
	client, err := operator.Dial(t.Context(), server.Address())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Status(t.Context())
	g.Expect(operator.IsErrInvalidReply(err)).To(BeTrue(), "%v", err)
	g.Expect(contained.Panics("operator-query")).To(Equal(int64(1)))
	expectStatus(t, server.Address())
}

// TestOddConnections guards against connections that end the daemon, occupy memory without a limit or keep others out: endless messages,
// invalid ones, and connections that are closed in the middle of a message.
func TestOddConnections(t *testing.T) {
	g := NewWithT(t)
	f := newFakeSource()
	server := operator.New(operator.Config{Bind: loopback, Status: f, Audit: f, Logger: zap.NewNop()})
	run(t, server)
	g.Eventually(server.Address).Should(Satisfy(netip.AddrPort.IsValid))
	for _, message := range []string{
		"", "{", "null", "null null", "[]", "[[[", "1e999", `{"jsonrpc":"2.0","method":"status"}`, `{"method":"audit","id":1,"params":null}`,
		`{"method":"audit","id":1,"params":{"newest":1e300}}`, `{"id":1,"result":{}}`, `{"id":18446744073709551616,"method":"status"}`, "\x00\xff",
	} {
		conn, err := net.Dial("tcp", server.Address().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = conn.Write([]byte(message))
		g.Expect(conn.Close()).To(Succeed())
	}
	expectStatus(t, server.Address())

	conn, err := net.Dial("tcp", server.Address().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	text := bytes.Repeat([]byte("a"), 64<<10)
	sent, err := conn.Write([]byte(`{"method":"`))
	for err == nil && sent < 64<<20 {
		var n int
		n, err = conn.Write(text)
		sent += n
	}
	g.Expect(err).To(HaveOccurred(), "the server read %d bytes of one message", sent)
	expectStatus(t, server.Address())
}

// FuzzQuery guards against a query that panics or never ends the connection. An input takes about 0.1 ms, most of it for the connection.
func FuzzQuery(f *testing.F) {
	for _, seed := range []string{
		`{"jsonrpc":"2.0","id":1,"method":"status"}`, `{"id":"a","method":"audit","params":{"newest":3}}`, `{"id":1,"method":"audit","params":[]}`,
		`{"id":1,"method":"x"}`, `{"id":1,"result":null}`, `[{"id":1,"method":"status"},{"id":1,"error":{}}]`, "null",
	} {
		f.Add([]byte(seed))
	}
	source := newFakeSource()
	server := operator.New(operator.Config{Bind: loopback, Status: source, Audit: source, Logger: zap.NewNop()})
	f.Fuzz(func(t *testing.T, message []byte) {
		client, stream := net.Pipe()
		var group errgroup.Group
		group.Go(func() error {
			defer func() { _ = client.Close() }()
			_ = client.SetDeadline(time.Now().Add(10 * time.Second))
			_, err := client.Write(message)
			return err
		})
		group.Go(func() error {
			buffer := make([]byte, 4096)
			for {
				if _, err := client.Read(buffer); err != nil {
					return nil
				}
			}
		})
		server.Serve(t.Context(), stream)
		_ = group.Wait()
	})
}
