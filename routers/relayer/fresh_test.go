package relayer

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

type alone struct{}

func (alone) ZoneMembers() []netip.AddrPort    { return nil }
func (alone) RandomPeers(int) []netip.AddrPort { return nil }
func (alone) IsLive(netip.AddrPort) bool       { return false }

// TestPausedDaemonConfirmsNobody guards against daemons that were paused together and take each other's old view for a
// confirmation.
func TestPausedDaemonConfirmsNobody(t *testing.T) {
	g := NewWithT(t)
	r, err := New(Config{
		PlatformURL: "http://127.0.0.1:1", Self: netip.MustParseAddrPort("127.0.0.1:1"), Bind: netip.MustParseAddrPort("127.0.0.1:0"),
		Members: alone{}, Logger: zap.NewNop(), Random: rand.New(rand.NewPCG(1, 1)), Key: [32]byte{1},
	})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = r.handleFetch(json.RawMessage(`{"name":"settings"}`))
	g.Expect(err).NotTo(HaveOccurred())
	r.fresh.seenAt.Store(time.Now().Add(-2 * time.Second).UnixNano())
	_, err = r.handleFetch(json.RawMessage(`{"name":"settings"}`))
	g.Expect(err).To(HaveOccurred())
}

// TestAnswerFromBeforePause guards against an answer that arrived during a pause and is read after it: it says nothing
// about changes since.
func TestAnswerFromBeforePause(t *testing.T) {
	g := NewWithT(t)
	r := &Relayer{}
	asked := time.Now()
	r.confirmed(&document{name: SettingsDocument}, asked.Add(-4*time.Second))
	g.Expect(r.ConfirmedWithin(time.Since(asked))).To(BeFalse())
	r.confirmed(&document{name: SettingsDocument}, asked)
	g.Expect(r.ConfirmedWithin(time.Since(asked) + time.Millisecond)).To(BeTrue())
}
