package follower

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
)

// faultySource panics at some of the reads of the platform.
type faultySource struct {
	*fakeSource
	faults atomic.Int32 // reads that are still to panic
}

func (s *faultySource) Read(ctx context.Context, known directory.Position) (Snapshot, error) {
	if s.faults.Add(-1) >= 0 {
		panic("faulty answer")
	}
	return s.fakeSource.Read(ctx, known)
}

// faultySink panics at some of the backend lists.
type faultySink struct {
	process
	faults *atomic.Int32
}

func (s faultySink) SetBackendList(l *directory.BackendList) {
	if s.faults.Add(-1) >= 0 {
		panic("faulty list")
	}
	s.process.SetBackendList(l)
}

// TestAnswerThatPanics guards against a daemon that ends, or follows the platform no longer, because an answer or a list causes a panic.
func TestAnswerThatPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, err := recoverer.New(recoverer.Config{Logger: zap.NewNop(), Meter: noop.Meter{}})
		if err != nil {
			t.Fatal(err)
		}
		platform := newFakePlatform()
		d := &daemon{fleet: &fleet{fakePlatform: platform}, source: &fakeSource{fakePlatform: platform}, zone: "a", address: netip.MustParseAddrPort("10.0.0.1:7400"), processes: 1}
		d.fleet.daemons = []*daemon{d}
		source, faults := &faultySource{fakeSource: d.source}, &atomic.Int32{}
		source.faults.Store(2)
		d.Follower = New(Config{
			Source: source, Sink: faultySink{process{d, 1}, faults}, Peers: d, Logger: zap.NewNop(), AvailabilityZone: "a", AvailabilityZones: []string{"a"},
			StalenessBounds: StalenessBounds{BackendList: stalenessBound, Configuration: stalenessBound}, Recoverer: r,
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return d.Run(ctx) })
		time.Sleep(5 * time.Second)
		if version, servers := d.inForce(); version != 1 || servers != 2 || r.Panics("backend-list-read") != 2 {
			t.Errorf("version %d, %d backend servers, %d panics", version, servers, r.Panics("backend-list-read"))
		}
		faults.Store(1)
		platform.change(func() { platform.servers = platform.servers[:1] })
		time.Sleep(5 * time.Second)
		platform.change(func() {
			platform.version, platform.servers = 2, append(platform.servers, newBackendServer(3), newBackendServer(4))
		})
		time.Sleep(5 * time.Second)
		if version, servers := d.inForce(); version != 2 || servers != 3 {
			t.Errorf("version %d, %d backend servers after a list that caused a panic", version, servers)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestMessageThatPanics guards against a lock that a panic at the message of a peer leaves held.
func TestMessageThatPanics(t *testing.T) {
	faults := &atomic.Int32{}
	platform := newFakePlatform()
	d := &daemon{fleet: &fleet{fakePlatform: platform}, source: &fakeSource{fakePlatform: platform}, address: netip.MustParseAddrPort("10.0.0.1:7400"), processes: 1}
	d.Follower = New(Config{Sink: faultySink{process{d, 1}, faults}, Peers: d, Logger: zap.NewNop(), AvailabilityZone: "a", StalenessBounds: StalenessBounds{BackendList: time.Hour}})
	receive := func(payload []byte, err error) {
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = recover() }()
		d.HandleNotice(netip.MustParseAddrPort("10.0.0.2:7400"), payload)
	}
	content, err := encoder.EncodeBackendList(&directory.BackendList{Servers: platform.servers})
	if err != nil {
		t.Fatal(err)
	}
	receive((&encoder.Fragment{Count: 1, Content: content, HasEra: true, Position: directory.Position{Era: 1, Revision: 1}}).Encode())
	faults.Store(1)
	a := encoder.Announcement{Zone: "a", HasEra: true}
	a.Delta.Position, a.Delta.BaseDigest, a.Delta.Digest = directory.Position{Era: 2, Revision: 1}, d.backendList.Digest(), d.backendList.Digest()
	receive(a.Encode(encoder.WithEras))
	if faults.Load() != 0 {
		t.Fatal("the announcement has not reached the sink")
	}
	if !d.Follower.mu.TryLock() {
		t.Fatal("the lock is held")
	}
	d.Follower.mu.Unlock()
}
