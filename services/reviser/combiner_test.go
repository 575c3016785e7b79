package reviser_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

const (
	rootHead = "seal-with = 1\ntoken-keys = [{ id = 1, secret = \"" + "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff" +
		"\" }]\nservices.ovenwatch.address = \"10.0.0.1:7000\"\nservices.desk.address = \"10.0.0.2:7000\"\n"
	regions = "regions.r.places = [\"souillac\", \"mahebourg\"]\nregions.q.places = [\"sfax\"]\n"
)

func group(place, service, address string) string {
	return fmt.Sprintf("[places.%s.services.%s.groups.g]\nbackend-servers = [{ name = \"b\", address = \"%s\" }]\n", place, service, address)
}

// published is one document revision on the platform.
type published struct {
	name, place string
	revision    uint64
	content     string
}

// replica holds documents as a daemon does: offers pass a Reviser for each document that is followed.
type replica struct {
	*reviser.Combiner
	revisers map[string]*reviser.Reviser
	last     *view.View
	highest  map[string]uint64
}

func newReplica() *replica {
	return &replica{Combiner: reviser.NewCombiner("souillac"), revisers: map[string]*reviser.Reviser{}, highest: map[string]uint64{}}
}

func (r *replica) follows(p published) bool {
	if p.place == "" {
		return true
	}
	for _, place := range r.Places() {
		if place == p.place {
			return true
		}
	}
	return false
}

func (r *replica) offer(t *rapid.T, p published) {
	if !r.follows(p) {
		return
	}
	if r.revisers[p.name] == nil {
		r.revisers[p.name] = reviser.New(reviser.Config{Document: p.name})
	}
	d := r.revisers[p.name].Decide(now, reviser.Offer{Revision: p.revision, Content: []byte(p.content)}, nil)
	if d.Outcome != reviser.Applied {
		return
	}
	var err error
	switch {
	case p.name == "settings":
		var tree *settings.Tree
		tree, err = settings.Parse(p.name, p.revision, []byte(p.content))
		r.SetRoot(tree)
	case strings.HasPrefix(p.name, "settings"):
		var document *settings.PlaceDocument
		document, err = settings.ParsePlaceDocument(p.name, p.place, p.revision, []byte(p.content))
		r.SetPlace(document)
	default:
		var list *fleet.List
		list, err = fleet.Parse(p.revision, []byte(p.content))
		r.SetPlaceVMs(p.place, list)
	}
	if err != nil {
		t.Fatal(err)
	}
	for name, held := range r.revisers {
		if place := strings.TrimPrefix(strings.TrimPrefix(name, "settings-"), "vms-"); name != "settings" && !r.follows(published{place: place}) {
			held.Release()
		}
	}
	r.check(t)
}

// check compares the view with the one before.
func (r *replica) check(t *rapid.T) {
	v, _ := r.View()
	if v == nil {
		return
	}
	if r.last != nil && v.HasOlderRevisionThan(r.last) {
		t.Fatalf("documents went back from %v to %v", r.last.Tree.Documents(), v.Tree.Documents())
	}
	r.last = v
	for _, d := range r.InForce() {
		if d.Revision < r.highest[d.Name] {
			t.Fatalf("%s went from %d to %d", d.Name, r.highest[d.Name], d.Revision)
		}
		r.highest[d.Name] = d.Revision
	}
	under := map[netip.AddrPort]string{}
	for _, s := range v.Tree.BackendServers {
		if other, taken := under[s.Address]; taken && other != s.Service {
			t.Fatalf("%s is under %s and %s", s.Address, other, s.Service)
		}
		under[s.Address] = s.Service
	}
}

func publications(t *rapid.T) []published {
	var list []published
	places := []string{"mahebourg", "sfax", "souillac"}
	service, address := rapid.SampledFrom([]string{"ovenwatch", "desk"}), rapid.SampledFrom([]string{"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"})
	for revision := range uint64(4) {
		content, listed := "", ""
		for _, place := range places {
			if rapid.Bool().Draw(t, "delegated") {
				listed += fmt.Sprintf("%q, ", place)
			} else if place == "souillac" { // one backend server at most: an address listed twice is refused
				content = group(place, service.Draw(t, "service"), address.Draw(t, "address"))
			}
			list = append(list, published{
				"settings-" + place, place, revision + 1, group(place, service.Draw(t, "service"), address.Draw(t, "address")),
			}, published{"vms-" + place, place, revision + 1, fmt.Sprintf(
				`{"vms":[{"address":%q,"availability-zone":%q,"role":"backend-server","state":"leaving"}]}`, address.Draw(t, "vm"), place)})
		}
		list = append(list, published{"settings", "", revision + 1, "place-documents = [" + listed + "]\n" + rootHead + regions + content})
	}
	return list
}

// Guards against daemons that hold the same documents and decide differently because these arrived in another order,
// against a document that goes back, and against an address under two services (G2, G8).
func TestAnyOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := publications(t)
		first, second := newReplica(), newReplica()
		for _, r := range []*replica{first, second} {
			for _, p := range rapid.SliceOfN(rapid.SampledFrom(all), 0, 40).Draw(t, "arrivals") {
				r.offer(t, p)
			}
			for range 2 { // in the end each daemon fetches the newest of what it follows
				for _, p := range rapid.Permutation(all).Draw(t, "order") {
					if p.revision == 4 {
						r.offer(t, p)
					}
				}
			}
		}
		g := NewWithT(t)
		g.Expect(first.Missing()).To(BeEmpty())
		a, b := first.last, second.last
		g.Expect(a.Tree.Documents()).To(Equal(b.Tree.Documents()))
		g.Expect(a.Tree.BackendServers).To(Equal(b.Tree.BackendServers))
		g.Expect(a.VMList).To(Equal(b.VMList))
		g.Expect(first.InForce()[0].Revision).To(Equal(uint64(4)))
	})
}

func ExampleCombiner() {
	c := reviser.NewCombiner("souillac")
	root := func(revision uint64, extra string) *settings.Tree {
		t, err := settings.Parse("settings", revision, []byte(extra+rootHead))
		if err != nil {
			panic(err)
		}
		return t
	}
	c.SetRoot(root(1, ""))
	c.SetRoot(root(2, "place-documents = [\"souillac\"]\n"))
	fmt.Println(c.InForce()[0].Revision, c.Missing())
	d, _ := settings.ParsePlaceDocument("f", "souillac", 7, []byte(group("souillac", "desk", "10.1.0.1:1")))
	c.SetPlace(d)
	fmt.Println(c.InForce()[0].Revision, c.InForce()[1].Revision, c.Missing())
	// Output:
	// 1 [settings-souillac]
	// 2 7 []
}

// Guards against a newer revision of a place document that is not put in force while the newest root waits for another
// document, and against conflicts that are reported more than once.
func TestPlacesMoveOnWhileRootWaits(t *testing.T) {
	g := NewWithT(t)
	c := reviser.NewCombiner("souillac")
	root := func(revision uint64, places string) {
		tree, err := settings.Parse("f", revision, []byte("place-documents = ["+places+"]\n"+rootHead+regions))
		g.Expect(err).NotTo(HaveOccurred())
		c.SetRoot(tree)
	}
	place := func(name string, revision uint64, service string) {
		d, err := settings.ParsePlaceDocument("f", name, revision, []byte(group(name, service, "10.1.0.1:1")))
		g.Expect(err).NotTo(HaveOccurred())
		c.SetPlace(d)
	}
	root(1, `"souillac"`)
	place("souillac", 1, "desk")
	root(2, `"souillac", "mahebourg"`)
	place("souillac", 2, "desk")
	v, _ := c.View()
	g.Expect(v.Tree.Revision).To(Equal(uint64(1)))
	g.Expect(v.DocumentFor("souillac").Revision).To(Equal(uint64(2)))
	place("mahebourg", 1, "ovenwatch")
	v, findings := c.View()
	g.Expect(v.Tree.Revision).To(Equal(uint64(2)))
	g.Expect(v.Tree.BackendServers).To(BeEmpty())
	g.Expect(findings).To(HaveLen(1))
	_, findings = c.View()
	g.Expect(findings).To(BeEmpty())
}

// Guards against a lower revision after a document was not followed for a while.
func TestReleaseKeepsRevision(t *testing.T) {
	g := NewWithT(t)
	r := reviser.New(reviser.Config{Document: "settings-souillac"})
	offer := func(revision uint64, content string) reviser.Outcome {
		return r.Decide(now, reviser.Offer{Revision: revision, Content: []byte(content)}, nil).Outcome
	}
	g.Expect(offer(5, "a")).To(Equal(reviser.Applied))
	r.Release()
	g.Expect(r.Revision()).To(BeZero())
	g.Expect(offer(4, "b")).To(Equal(reviser.Ignored))
	g.Expect(offer(5, "c")).To(Equal(reviser.Rejected))
	g.Expect(offer(5, "a")).To(Equal(reviser.Applied))
}
