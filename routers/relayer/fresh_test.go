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

// noPeers is a membership view without other members.
type noPeers struct{}

func (noPeers) ZoneMembers() []netip.AddrPort    { return nil }
func (noPeers) RandomPeers(int) []netip.AddrPort { return nil }
func (noPeers) IsLive(netip.AddrPort) bool       { return false }

// TestFetchRefusedAfterPause guards against daemons that were paused at the same time and confirm each other's stale views.
func TestFetchRefusedAfterPause(t *testing.T) {
	g := NewWithT(t)
	r, err := New(Config{
		PlatformURL: "http://127.0.0.1:1", Self: netip.MustParseAddrPort("127.0.0.1:1"), Bind: netip.MustParseAddrPort("127.0.0.1:0"),
		Members: noPeers{}, Logger: zap.NewNop(), Random: rand.New(rand.NewPCG(1, 1)), Key: [32]byte{1},
	})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = r.handleFetch(json.RawMessage(`{"name":"settings"}`))
	g.Expect(err).NotTo(HaveOccurred())
	r.freshness.lastTick.Store(time.Now().Add(-2 * time.Second).UnixNano())
	_, err = r.handleFetch(json.RawMessage(`{"name":"settings"}`))
	g.Expect(err).To(HaveOccurred())
}

// TestAnswerFromBeforePause guards against treating the view as confirmed by an answer that arrived during a pause and is read
// only afterwards. It does not include later changes.
func TestAnswerFromBeforePause(t *testing.T) {
	g := NewWithT(t)
	r := &Relayer{}
	queriedAt := time.Now()
	r.markConfirmed(&document{name: SettingsDocument}, queriedAt.Add(-4*time.Second))
	g.Expect(r.ConfirmedWithin(time.Since(queriedAt))).To(BeFalse())
	r.markConfirmed(&document{name: SettingsDocument}, queriedAt)
	g.Expect(r.ConfirmedWithin(time.Since(queriedAt) + time.Millisecond)).To(BeTrue())
}
