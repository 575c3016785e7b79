package relayer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/routers/relayer"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// store is a fake of the platform that serves several documents.
type store struct {
	mu        sync.Mutex
	down      bool
	calls     map[string]int
	contents  map[string]string
	revisions map[string]uint64
}

func newStore(t testing.TB) (*store, string) {
	s := &store{calls: map[string]int{}, contents: map[string]string{}, revisions: map[string]uint64{}}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

// put sets the content of a document under its next revision.
func (s *store) put(name, content string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents[name] = content
	s.revisions[name]++
}

// get returns the revision and content of a document, and whether the platform is down.
func (s *store) get(name string) (uint64, string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revisions[name], s.contents[name], s.down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := path.Base(r.URL.Path)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	s.mu.Lock()
	s.calls[name]++
	s.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		revision, content, down := s.get(name)
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case revision == 0:
			w.WriteHeader(http.StatusNotFound)
		case revision != after:
			w.Header().Set("X-Revision", strconv.FormatUint(revision, 10))
			fmt.Fprint(w, content)
		case time.Now().After(end) || r.Context().Err() != nil:
			w.WriteHeader(http.StatusNotModified)
		default:
			continue
		}
		return
	}
}

// rootSettings returns root settings in which the listed places are defined by place documents.
func rootSettings(placeDocuments string) string {
	return "place-documents = [" + placeDocuments + "]\nseal-with = 1\ntoken-keys = [{ id = 1, secret = \"" + strings.Repeat("ab", 32) +
		"\" }]\nservices.ovenwatch.address = \"10.9.0.1:7000\"\nregions.r.places = [\"souillac\", \"mahebourg\"]\n"
}

// placeSettings returns settings of a place with one backend server.
func placeSettings(name, address string) string {
	return fmt.Sprintf("[places.%s.services.ovenwatch.groups.g]\nbackend-servers = [{ name = %q, address = %q }]\n", name, name, address)
}

func inSouillac(c *relayer.Config) { c.AvailabilityZone = "souillac" }

// awaitServers waits for a view with n backend servers and returns it.
func awaitServers(g *WithT, d *daemon, n int) *view.View {
	return awaitView(g, d, func(v *view.View) bool { return len(v.Tree.BackendServers) == n })
}

// awaitView waits for a view that meets the condition and returns it.
func awaitView(g *WithT, d *daemon, condition func(*view.View) bool) *view.View {
	var v *view.View
	g.Eventually(func() bool {
		select {
		case v = <-d.Views():
		default:
		}
		return v != nil && condition(v)
	}, 6*time.Second, 10*time.Millisecond).Should(BeTrue())
	return v
}

// TestPlaceDocuments guards against a root that is in force before the place documents that it names are held, against a change of
// a place document that does not reach all daemons, and against documents that are still followed after their place has moved
// back into the root.
func TestPlaceDocuments(t *testing.T) {
	g := NewWithT(t)
	p, url := newStore(t)
	p.put("settings", rootSettings("")+placeSettings("souillac", "10.1.0.1:1"))
	z := &zone{}
	var all []*daemon
	for range 4 {
		all = append(all, newDaemon(t, z, url, inSouillac))
	}
	for _, d := range all {
		d.run(t)
	}
	for _, d := range all {
		awaitServers(g, d, 1)
	}
	p.put("settings", rootSettings(`"souillac"`))
	for _, d := range all {
		g.Eventually(func() []reviser.Cause { return d.audit.causes(reviser.Waiting) }, 6*time.Second).Should(ConsistOf(reviser.CauseMissingDocuments))
		g.Expect(d.Documents()[0]).To(Equal(relayer.DocumentStatus{Name: "settings", RevisionInForce: 1, HeldRevision: 2}))
	}
	p.put("settings-souillac", placeSettings("souillac", "10.1.0.1:1"))
	p.put("vms-souillac", `{"vms":[{"address":"10.1.0.1:1","availability-zone":"souillac","role":"backend-server","state":"leaving"}]}`)
	for _, d := range all {
		g.Eventually(func() uint64 { return d.Documents()[0].RevisionInForce }, 6*time.Second).Should(Equal(uint64(2)))
		g.Expect(d.audit.causes(reviser.Waiting)).To(HaveLen(1))
	}
	p.put("settings-souillac", strings.Replace(placeSettings("souillac", "10.1.0.1:1"), "[{", "[{ name = \"b\", address = \"10.1.0.2:1\" }, {", 1))
	for _, d := range all {
		// The settings are put in force without waiting for the VM list of the place.
		v := awaitView(g, d, func(v *view.View) bool {
			servers := v.BackendServersOf("ovenwatch")
			return len(servers) == 2 && servers[0].Leaving && !servers[1].Leaving
		})
		g.Expect(v.Tree.Revision).To(Equal(uint64(2)))
		revision, ok := v.DocumentRevision(settings.DocumentID("settings-souillac"))
		g.Expect(ok).To(BeTrue())
		g.Expect(revision).To(Equal(uint64(2)))
	}
	p.put("settings", rootSettings("")+placeSettings("souillac", "10.1.0.3:1"))
	for _, d := range all {
		awaitServers(g, d, 1)
		g.Expect(d.Documents()).To(HaveLen(2))
	}
	// When the place gets its own document again, an older revision of this document must not be put in force.
	p.mu.Lock()
	p.revisions["settings-souillac"], p.contents["settings-souillac"] = 1, placeSettings("souillac", "10.1.0.1:1")
	p.mu.Unlock()
	p.put("settings", rootSettings(`"souillac"`))
	g.Eventually(func() uint64 { return all[0].Documents()[0].HeldRevision }, 6*time.Second).Should(Equal(uint64(4)))
	g.Consistently(func() uint64 { return all[0].Documents()[0].RevisionInForce }, time.Second).Should(Equal(uint64(3)))
}

// TestPlacesFromPeers guards against a daemon that cannot start with place documents while the platform is down, and against a
// daemon that follows place documents of other regions.
func TestPlacesFromPeers(t *testing.T) {
	g := NewWithT(t)
	p, url := newStore(t)
	p.put("settings", rootSettings(`"souillac", "mahebourg"`))
	p.put("settings-souillac", placeSettings("souillac", "10.1.0.1:1"))
	p.put("settings-mahebourg", placeSettings("mahebourg", "10.1.0.2:1"))
	z := &zone{}
	first := newDaemon(t, z, url, inSouillac)
	first.run(t)
	awaitServers(g, first, 2)
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()
	second := newDaemon(t, z, url, inSouillac)
	second.run(t)
	awaitServers(g, second, 2)
	otherRegion := newDaemon(t, z, url, func(c *relayer.Config) { c.AvailabilityZone = "sfax" })
	otherRegion.run(t)
	g.Expect(awaitServers(g, otherRegion, 0).Tree.Revision).To(Equal(uint64(1)))
	g.Expect(otherRegion.Documents()).To(HaveLen(2))
}
