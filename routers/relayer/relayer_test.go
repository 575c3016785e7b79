package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/routers/relayer"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// platform is a fake of the platform's document API that serves only the settings.
type platform struct {
	mu       sync.Mutex
	era      uint64 // 0: responses state no era
	revision uint64
	content  string
	calls    int
	polls    int // answered calls for the settings that were not long polls
	down     bool
	changed  chan struct{}
}

func (p *platform) set(revision uint64, content string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision, p.content = revision, content
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !strings.HasSuffix(r.URL.Path, "/settings") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	era := p.era
	for end := time.Now().Add(wait); p.revision == after && p.era == era && time.Now().Before(end) && r.Context().Err() == nil; {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Until(end)):
		}
		p.mu.Lock()
	}
	if wait == 0 {
		p.polls++
	}
	if p.era != era { // a store that is restored cuts the calls that wait
		panic(http.ErrAbortHandler)
	}
	if p.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(p.era, 10))
	}
	if p.revision == after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("X-Revision", strconv.FormatUint(p.revision, 10))
	fmt.Fprint(w, p.content)
}

func (p *platform) answeredPolls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.polls
}

func newPlatform(t testing.TB) (*platform, string) {
	p := &platform{changed: make(chan struct{})}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, server.URL
}

// zone is the list of all daemons of a test, which are members of one availability zone.
type zone struct {
	mu        sync.Mutex
	addresses []netip.AddrPort
}

func (z *zone) members() []netip.AddrPort {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.Clone(z.addresses)
}

// membership is the membership view of one daemon of a zone.
type membership struct {
	zone *zone
	self netip.AddrPort
}

func (m membership) ZoneMembers() []netip.AddrPort { return m.zone.members() }

func (m membership) RandomPeers(n int) []netip.AddrPort {
	var list []netip.AddrPort
	for _, a := range m.zone.members() {
		if a != m.self && len(list) < n {
			list = append(list, a)
		}
	}
	return list
}

func (m membership) IsLive(netip.AddrPort) bool { return true }

// audit collects audit entries.
type audit struct {
	mu      sync.Mutex
	entries []relayer.AuditEntry
}

func (a *audit) Record(e relayer.AuditEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = append(a.entries, e)
}

// causes returns the causes of all entries with the outcome.
func (a *audit) causes(outcome reviser.Outcome) (causes []reviser.Cause) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.entries {
		if e.Outcome == outcome {
			causes = append(causes, e.Cause)
		}
	}
	return causes
}

// clear forgets all entries.
func (a *audit) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = nil
}

type daemon struct {
	*relayer.Relayer
	audit  *audit
	self   netip.AddrPort
	cancel context.CancelFunc
}

// newDaemon adds a daemon to the zone. configure, which can be nil, changes its Config.
func newDaemon(t testing.TB, z *zone, url string, configure func(*relayer.Config)) *daemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := listener.Addr().(*net.TCPAddr).AddrPort()
	z.mu.Lock()
	z.addresses = append(z.addresses, self)
	z.mu.Unlock()
	d := &daemon{audit: &audit{}, self: self}
	c := relayer.Config{
		PlatformURL: url, Self: self, Listener: listener, Members: membership{z, self}, Audit: d.audit,
		Random: rand.New(rand.NewPCG(1, uint64(self.Port()))), PollInterval: time.Hour, WatchersPerZone: 1, Key: [32]byte{7},
	}
	if configure != nil {
		configure(&c)
	}
	if d.Relayer, err = relayer.New(c); err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *daemon) run(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	d.cancel = cancel
	group.Go(func() error { return d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

func (d *daemon) settingsRevision() uint64 { return d.Versions().Settings.Revision }

// settingsWith returns settings with n backend servers. Settings that differ only in slots differ in one line.
func settingsWith(n int, slots string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[services.ovenwatch]\naddress = \"10.9.0.1:7000\"\n[defaults]\nslots = %s\n", slots)
	fmt.Fprint(&b, "[places.souillac.services.ovenwatch.groups.blue]\nbackend-servers = [\n")
	for i := range n {
		fmt.Fprintf(&b, "  { name = \"o%d\", address = \"10.1.%d.%d:7000\" },\n", i, i/250, i%250+1)
	}
	b.WriteString("]\n[[token-keys]]\nid = 1\nsecret = \"" + strings.Repeat("ab", 32) + "\"\n")
	return "seal-with = 1\n" + b.String()
}

// TestChangeReachesAll guards against a revision that the watcher does not pass on, and against pulls of the full content where
// a delta is available.
func TestChangeReachesAll(t *testing.T) {
	g := NewWithT(t)
	p, url := newPlatform(t)
	p.set(3, settingsWith(200, "2"))
	z := &zone{}
	var all []*daemon
	for range 5 {
		all = append(all, newDaemon(t, z, url, nil))
	}
	for _, d := range all {
		d.run(t)
	}
	for _, d := range all {
		g.Eventually(d.settingsRevision, 5*time.Second).Should(Equal(uint64(3)))
		g.Eventually(d.Views(), 5*time.Second).Should(Receive())
	}
	// Each daemon reads the settings when it starts, and all but the watcher read them again in readPlatform. A change before the
	// second read would reach them from the platform instead of from peers.
	g.Eventually(p.answeredPolls, 5*time.Second).Should(Equal(2*len(all) - 1))
	var deltas, fullContents uint64
	for _, d := range all {
		fullContents -= d.Counts()["wholes-in"] // those pulled at start do not count
	}
	p.set(4, settingsWith(200, "3"))
	for _, d := range all {
		g.Eventually(d.settingsRevision, 5*time.Second).Should(Equal(uint64(4)))
		var v *view.View
		g.Eventually(d.Views(), 5*time.Second).Should(Receive(&v))
		g.Expect(v.Tree.Revision).To(Equal(uint64(4)))
		deltas += d.Counts()["deltas-in"]
		fullContents += d.Counts()["wholes-in"]
	}
	g.Expect(deltas).To(BeNumerically(">=", len(all)-1), "all daemons but the watcher pull deltas; counters %v", all[1].Counts())
	g.Expect(fullContents).To(BeZero())
}

// TestOnlyValidHigherRevisionApplied guards against replacing the revision in force by a lower revision, by invalid content, or by
// another content under the same revision.
func TestOnlyValidHigherRevisionApplied(t *testing.T) {
	g := NewWithT(t)
	p, url := newPlatform(t)
	p.set(5, settingsWith(3, "2"))
	d := newDaemon(t, &zone{}, url, nil)
	d.run(t)
	g.Eventually(d.settingsRevision, 5*time.Second).Should(Equal(uint64(5)))
	p.set(4, settingsWith(3, "4"))
	p.set(6, "nonsense = true\n")
	g.Eventually(func() []reviser.Cause { return d.audit.causes(reviser.Rejected) }, 5*time.Second).Should(
		ContainElement(reviser.CauseInvalid))
	p.set(5, settingsWith(3, "9"))
	g.Eventually(func() []reviser.Cause { return d.audit.causes(reviser.Rejected) }, 5*time.Second).Should(
		ContainElement(reviser.CauseContentConflict))
	g.Expect(d.settingsRevision()).To(Equal(uint64(5)))
	d.HandleVersions(netip.MustParseAddrPort("127.0.0.1:9"), packer.Versions{Settings: packer.Version{Revision: 5, DigestPrefix: 1}})
	g.Expect(d.audit.causes(reviser.Rejected)).To(HaveLen(3))
	p.set(7, settingsWith(3, "4"))
	g.Eventually(d.settingsRevision, 5*time.Second).Should(Equal(uint64(7)))
}

// TestRestoredPlatform guards against a change that is rejected or overlooked because a restored store gives it the revision of a lost
// one, and against a return to the older content of the copy.
func TestRestoredPlatform(t *testing.T) {
	g := NewWithT(t)
	p, url := newPlatform(t)
	p.era = 1
	z := &zone{}
	all := []*daemon{newDaemon(t, z, url, nil), newDaemon(t, z, url, nil), newDaemon(t, z, url, nil)}
	p.set(5, settingsWith(3, "5"))
	for _, d := range all {
		d.run(t)
	}
	expectRevision := func(revision uint64) {
		t.Helper()
		for _, d := range all {
			g.Eventually(d.settingsRevision, 6*time.Second).Should(Equal(revision)) // the bound of G8
		}
	}
	restore := func(revision uint64, content string) {
		p.mu.Lock()
		p.era++
		p.mu.Unlock()
		p.set(revision, content)
	}
	expectRevision(5)
	p.set(6, settingsWith(3, "6"))
	expectRevision(6)
	restore(4, settingsWith(3, "4"))
	g.Consistently(all[0].settingsRevision, time.Second).Should(Equal(uint64(6)), "the copy is older")
	p.set(5, settingsWith(3, "6"))
	expectRevision(1<<40 | 5) // the operator has written the newest content again
	p.set(6, settingsWith(3, "7"))
	expectRevision(1<<40 | 6)
	restore(6, settingsWith(3, "8")) // changed before the daemons read the restored store
	expectRevision(2<<40 | 6)
}

// TestStartFromPeers guards against a daemon that cannot start while the platform is down, and against accepting a document from
// a peer with another fleet key.
func TestStartFromPeers(t *testing.T) {
	g := NewWithT(t)
	p, url := newPlatform(t)
	p.set(8, settingsWith(3, "2"))
	z := &zone{}
	first := newDaemon(t, z, url, nil)
	first.run(t)
	g.Eventually(first.settingsRevision, 5*time.Second).Should(Equal(uint64(8)))
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()
	second := newDaemon(t, z, url, nil)
	second.run(t)
	g.Eventually(second.settingsRevision, 5*time.Second).Should(Equal(uint64(8)))
	g.Expect(second.Confirm(context.Background())).To(BeTrue())
	otherKey := newDaemon(t, z, url, func(c *relayer.Config) { c.Key = [32]byte{1} })
	otherKey.run(t)
	g.Eventually(func() uint64 { return otherKey.Counts()["forged"] }, 5*time.Second).Should(BeNumerically(">", 0))
	g.Expect(otherKey.settingsRevision()).To(BeZero())
	g.Expect(otherKey.Views()).NotTo(Receive())
}

// TestHeartbeatRepairs guards against a daemon that misses a notification and does not pull the revision after a heartbeat.
func TestHeartbeatRepairs(t *testing.T) {
	g := NewWithT(t)
	p, url := newPlatform(t)
	p.set(1, settingsWith(3, "2"))
	z := &zone{}
	first := newDaemon(t, z, url, nil)
	first.run(t)
	g.Eventually(first.settingsRevision, 5*time.Second).Should(Equal(uint64(1)))
	_, emptyURL := newPlatform(t)
	second := newDaemon(t, &zone{}, emptyURL, nil)
	second.run(t)
	g.Consistently(second.settingsRevision, 300*time.Millisecond).Should(BeZero())
	second.HandleVersions(first.self, first.Versions())
	g.Eventually(second.settingsRevision, 5*time.Second).Should(Equal(uint64(1)))
	g.Expect(second.ConfirmedWithin(time.Second)).To(BeTrue())
}

// TestConfirmEnds guards against new requests that wait longer than 500 ms after a pause because no source answers.
func TestConfirmEnds(t *testing.T) {
	g := NewWithT(t)
	silentListener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer silentListener.Close()
	z := &zone{addresses: []netip.AddrPort{silentListener.Addr().(*net.TCPAddr).AddrPort()}}
	d := newDaemon(t, z, "http://"+silentListener.Addr().String(), nil)
	started := time.Now()
	g.Expect(d.Confirm(context.Background())).To(BeFalse())
	g.Expect(time.Since(started)).To(BeNumerically("<", relayer.ConfirmTimeout+100*time.Millisecond))
	g.Expect(d.PossiblyStale()).To(BeFalse())
}

func ExampleNew() {
	_, err := relayer.New(relayer.Config{PlatformURL: "http://127.0.0.1:8400"})
	fmt.Println(err)
	// Output: relayer needs Members and Random: set both in Config
}

// TestConfirmationFollowsView guards against placing new requests by the old view because the view is regarded as confirmed
// while a newer one is still being parsed.
func TestConfirmationFollowsView(t *testing.T) {
	g := NewWithT(t)
	p, url := newPlatform(t)
	p.set(1, settingsWith(3, "2"))
	d := newDaemon(t, &zone{}, url, nil)
	d.run(t)
	g.Eventually(d.Views(), 5*time.Second).Should(Receive())
	p.set(2, settingsWith(5000, "2"))
	queriedAt := time.Now()
	var group errgroup.Group
	group.Go(func() error { d.Confirm(t.Context()); return nil })
	for !d.ConfirmedWithin(time.Since(queriedAt)) && time.Since(queriedAt) < 5*time.Second {
		time.Sleep(100 * time.Microsecond)
	}
	g.Expect(d.ConfirmedWithin(time.Since(queriedAt))).To(BeTrue())
	var v *view.View
	g.Expect(d.Views()).To(Receive(&v))
	g.Expect(v.Tree.Revision).To(Equal(uint64(2)))
	g.Expect(group.Wait()).To(Succeed())
}
