package recorder_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/recorder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

var start = time.Unix(1_800_000_000, 0)

func packet(i int) *editor.Packet {
	return &editor.Packet{Source: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(i)), Destination: netip.MustParseAddrPort("198.18.0.1:443")}
}

// TestBudget guards against logs that grow with the load, against joined decisions that are not counted, and against rare
// decisions that are lost among common ones: 10,000 new flows a second.
func TestBudget(t *testing.T) {
	g := NewWithT(t)
	core, lines := observer.New(zap.InfoLevel)
	r := recorder.New(recorder.Config{Logger: zap.New(core), Budget: 20})
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * 100 * time.Microsecond)
		r.Decision(now, packet(i), &steerer.Decision{Action: steerer.Forward, Cause: steerer.Placed, Server: 7})
		r.Decision(now, packet(i), &steerer.Decision{Action: steerer.Forward, Cause: steerer.Established, Server: 7})
		if i%1000 == 0 {
			r.Decision(now, packet(i), &steerer.Decision{Action: steerer.Reset, Cause: steerer.BackendServerSilent, Server: 7})
		}
	}
	r.Decision(start.Add(3*time.Second), packet(1), &steerer.Decision{Action: steerer.Forward, Cause: steerer.Placed})
	g.Expect(lines.FilterField(zap.Stringer("cause", steerer.BackendServerSilent)).Len()).To(Equal(20))
	joined := int64(0)
	for _, l := range lines.FilterMessage(recorder.MessageJoined).All() {
		joined += l.ContextMap()["count"].(int64)
	}
	placed := lines.FilterMessage(recorder.MessageFlow).FilterField(zap.Stringer("cause", steerer.Placed)).Len()
	g.Expect(placed).To(BeNumerically("<=", 3*20+1))
	g.Expect(int(joined) + placed).To(Equal(20_001))
}

// TestBeliefs guards against changes of what a daemon believes that leave no line.
func TestBeliefs(t *testing.T) {
	g := NewWithT(t)
	core, lines := observer.New(zap.InfoLevel)
	r := recorder.New(recorder.Config{Logger: zap.New(core), Budget: 20})
	b := directory.BackendServer{ID: 7, Service: "ovenwatch", Slots: 2}
	leaving := b
	leaving.Leaving = true
	again := b
	again.Incarnation = 5
	for i, list := range [][]directory.BackendServer{{}, {b}, {leaving}, {}, {b}, {again}} {
		r.Listing(start, &directory.Listing{Revision: uint64(i + 1), Servers: list})
	}
	var changes []string
	for _, l := range lines.FilterMessage(recorder.MessageServer).All() {
		changes = append(changes, l.ContextMap()["change"].(string))
	}
	g.Expect(changes).To(Equal([]string{"listed", "leaving", "missing", "listed", "started-again"}))

	route := directory.Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []directory.Share{{Service: "a", Weight: 1}}}
	other := directory.Route{Address: netip.MustParseAddrPort("198.18.0.2:443"), Shares: []directory.Share{{Service: "a", Weight: 1}}}
	changed := route
	changed.Shares = []directory.Share{{Service: "b", Weight: 1}}
	for i, routes := range [][]directory.Route{{route}, {route, other}, {changed}} {
		r.Configuration(start, &directory.Configuration{Version: uint64(i + 1), Routes: routes})
	}
	changes = nil
	for _, l := range lines.FilterMessage(recorder.MessageRoute).All() {
		changes = append(changes, l.ContextMap()["change"].(string))
	}
	g.Expect(changes).To(ConsistOf("added", "changed", "gone"))
}

// TestBeliefBudget guards against a daemon that writes a line for each route of a large configuration while packets wait:
// benammar-lb trouble-1, 420 routes at once, 36 requests lost at slow VMs.
func TestBeliefBudget(t *testing.T) {
	g := NewWithT(t)
	core, lines := observer.New(zap.InfoLevel)
	r := recorder.New(recorder.Config{Logger: zap.New(core), Budget: 20})
	routes := make([]directory.Route, 421)
	for i := range routes {
		routes[i] = directory.Route{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443), Shares: []directory.Share{{Service: "a", Weight: 1}},
		}
	}
	r.Configuration(start, &directory.Configuration{Version: 1, Routes: routes[:1]})
	r.Configuration(start, &directory.Configuration{Version: 2, Routes: routes})
	r.Listing(start, &directory.Listing{Revision: 1})
	servers := make([]directory.BackendServer, 100)
	for i := range servers {
		servers[i] = directory.BackendServer{ID: directory.ServerID(i + 1)}
	}
	r.Listing(start, &directory.Listing{Revision: 2, Servers: servers})
	r.Flush(start.Add(time.Second))
	g.Expect(lines.FilterMessage(recorder.MessageRoute).Len()).To(Equal(20))
	g.Expect(lines.FilterMessage(recorder.MessageServer).Len()).To(Equal(20))
	joined := map[any]any{}
	for _, l := range lines.FilterMessage(recorder.MessageJoined).All() {
		joined[l.ContextMap()["of"]] = l.ContextMap()["count"]
	}
	g.Expect(joined).To(Equal(map[any]any{recorder.MessageRoute: int64(400), recorder.MessageServer: int64(80)}))
}

// sized counts the bytes of lines.
type sized struct{ bytes int }

func (s *sized) Write(b []byte) (int, error) { s.bytes += len(b); return len(b), nil }
func (s *sized) Sync() error                 { return nil }

// TestBytes guards against lines that exceed the budget of bytes, and against decisions whose line does not tell how old the
// beliefs were that decided.
func TestBytes(t *testing.T) {
	g := NewWithT(t)
	var out sized
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), &out, zap.InfoLevel)
	seen, lines := observer.New(zap.InfoLevel)
	r := recorder.New(recorder.Config{Logger: zap.New(zapcore.NewTee(core, seen)), Budget: 1000, Bytes: 4000})
	r.OnAges(func() recorder.Ages {
		return recorder.Ages{Configuration: 3600 * time.Second, Listing: 1234567 * time.Microsecond}
	})
	r.Listing(start, &directory.Listing{Revision: 1 << 40})
	longest := packet(65535)
	longest.Source = netip.MustParseAddrPort("255.255.255.255:65535")
	longest.Tag, longest.SequenceNumber = 1<<32-1, 1<<32-1
	out.bytes = 0
	for range 1000 {
		r.Decision(start, longest, &steerer.Decision{
			Action: steerer.Forward, Cause: steerer.Placed, Server: 1<<63 + 1, Choice: steerer.Choice{Load: 16777216.123, Candidates: 29000, Avoided: 29000},
		})
	}
	g.Expect(out.bytes).To(And(BeNumerically(">", 2000), BeNumerically("<=", 4000)))
	line := lines.FilterMessage(recorder.MessageFlow).All()[0].ContextMap()
	g.Expect(line).To(And(HaveKeyWithValue("listing-age", 1234567*time.Microsecond), HaveKeyWithValue("configuration-age", time.Hour),
		HaveKeyWithValue("candidates", int64(29000))))
}

// discard encodes lines and drops them.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) Sync() error                 { return nil }

// BenchmarkDecision measures a line, and a decision beyond the budget.
func BenchmarkDecision(b *testing.B) {
	for name, budget := range map[string]int{"line": 1 << 30, "joined": 1} {
		b.Run(name, func(b *testing.B) {
			core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), discard{}, zap.InfoLevel)
			r := recorder.New(recorder.Config{Logger: zap.New(core), Budget: budget})
			p, d := packet(1), &steerer.Decision{Action: steerer.Forward, Cause: steerer.Placed, Server: 7}
			b.ReportAllocs()
			for b.Loop() {
				r.Decision(start, p, d)
			}
		})
	}
}
