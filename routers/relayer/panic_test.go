package relayer

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// noMembers is the membership view of a daemon that is alone.
type noMembers struct{}

func (noMembers) ZoneMembers() []netip.AddrPort    { return nil }
func (noMembers) RandomPeers(int) []netip.AddrPort { return nil }
func (noMembers) IsLive(netip.AddrPort) bool       { return true }

// newAlone returns a Relayer without a platform or peers, which does not run.
func newAlone(t testing.TB, logger *zap.Logger) *Relayer {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	contained, err := recoverer.New(recoverer.Config{Logger: logger, Meter: noop.Meter{}})
	g.Expect(err).NotTo(HaveOccurred())
	r, err := New(Config{
		PlatformURL: "http://127.0.0.1:9", Listener: listener, Members: noMembers{}, Random: rand.New(rand.NewPCG(1, 2)), Logger: logger, Recoverer: contained,
	})
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// TestPanicOfDocument guards against a document whose failure ends the daemon, or keeps the next one from being followed.
func TestPanicOfDocument(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zap.InfoLevel)
	r := newAlone(t, zap.New(core))
	d := r.documentByName(VMListDocument)
	parse := d.parse
	d.parse = func(revision uint64, content []byte) (any, error) {
		switch revision {
		case 2:
			panic("document")
		case 3:
			return nil, errors.New(strings.Repeat("problem ", 1<<20))
		}
		return parse(revision, content)
	}
	offer := func(revision uint64) bool {
		return r.handleOffer(d, reviser.Offer{Revision: revision, Content: []byte(`{"vms":[]}`)})
	}
	g.Expect(offer(1)).To(BeTrue())
	g.Expect(offer(2)).To(BeFalse())
	g.Expect(offer(3)).To(BeFalse())
	g.Expect(d.revision()).To(Equal(uint64(1)))
	g.Expect(offer(4)).To(BeTrue())
	g.Expect(r.cfg.Recoverer.Panics("document")).To(Equal(int64(1)))
	for _, line := range logs.All() {
		if detail, ok := line.ContextMap()["detail"].(string); ok {
			g.Expect(len(detail)).To(BeNumerically("<", 2*maxDetailBytes))
		}
	}
}

// FuzzPeerQuery guards against a query of a peer that panics or does not end. An input takes about 0.1 ms, most of it for the connection.
func FuzzPeerQuery(f *testing.F) {
	for _, seed := range []string{
		`{"id":1,"method":"document/fetch","params":{"name":"settings","after":0}}`, `{"method":"document/notify","params":{"name":"vms","revision":18446744073709551615,"from":"127.0.0.1:1"}}`,
		`{"id":1,"method":"document/fetch","params":null}`, `{"id":1,"method":"document/fetch","params":{"name":"settings","after":1e300}}`, `[]`, `null`, `{"id":1,"result":1}`,
	} {
		f.Add([]byte(seed))
	}
	r := newAlone(f, zap.NewNop())
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
		r.serveConn(t.Context(), stream)
		_ = group.Wait()
		var request jsonrpc2.Request
		if request.UnmarshalJSON(message) == nil {
			_, _ = r.answer(&request) // not contained
		}
	})
}
