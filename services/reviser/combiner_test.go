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

// publication is one revision of a document on the platform.
type publication struct {
	name, place string
	revision    uint64
	content     string
}

// replica holds documents as a daemon does: each followed document has a Reviser, and the Combiner gets the applied
// contents.
type replica struct {
	*reviser.Combiner
	revisers        map[string]*reviser.Reviser
	lastView        *view.View
	highestRevision map[string]uint64 // by document name
}

func newReplica() *replica {
	return &replica{Combiner: reviser.NewCombiner("souillac"), revisers: map[string]*reviser.Reviser{}, highestRevision: map[string]uint64{}}
}

func (r *replica) follows(p publication) bool {
	if p.place == "" {
		return true
	}
	for _, place := range r.FollowedPlaces() {
		if place == p.place {
			return true
		}
	}
	return false
}

func (r *replica) offer(t *rapid.T, p publication) {
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
		r.SetPlaceDocument(document)
	default:
		var list *fleet.List
		list, err = fleet.Parse(p.revision, []byte(p.content))
		r.SetPlaceVMList(p.place, list)
	}
	if err != nil {
		t.Fatal(err)
	}
	for name, documentReviser := range r.revisers {
		if place := strings.TrimPrefix(strings.TrimPrefix(name, "settings-"), "vms-"); name != "settings" && !r.follows(publication{place: place}) {
			documentReviser.Release()
		}
	}
	r.checkView(t)
}

// checkView fails if the view or a document in it is older than before, or if an address belongs to two services.
func (r *replica) checkView(t *rapid.T) {
	v, _ := r.View()
	if v == nil {
		return
	}
	if r.lastView != nil && v.HasOlderRevisionThan(r.lastView) {
		t.Fatalf("documents changed from %v to older %v", r.lastView.Tree.Documents(), v.Tree.Documents())
	}
	r.lastView = v
	for _, d := range r.DocumentsInForce() {
		if d.Revision < r.highestRevision[d.Name] {
			t.Fatalf("%s changed from revision %d to lower revision %d", d.Name, r.highestRevision[d.Name], d.Revision)
		}
		r.highestRevision[d.Name] = d.Revision
	}
	serviceOf := map[netip.AddrPort]string{}
	for _, s := range v.Tree.BackendServers {
		if other, found := serviceOf[s.Address]; found && other != s.Service {
			t.Fatalf("%s belongs to services %s and %s", s.Address, other, s.Service)
		}
		serviceOf[s.Address] = s.Service
	}
}

// drawPublications draws four revisions of the root and of the documents of three places.
func drawPublications(t *rapid.T) []publication {
	var list []publication
	places := []string{"mahebourg", "sfax", "souillac"}
	service, address := rapid.SampledFrom([]string{"ovenwatch", "desk"}), rapid.SampledFrom([]string{"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"})
	for revision := range uint64(4) {
		content, placeDocuments := "", ""
		for _, place := range places {
			if rapid.Bool().Draw(t, "delegated") {
				placeDocuments += fmt.Sprintf("%q, ", place)
			} else if place == "souillac" { // at most one backend server, because a root that lists an address twice is rejected
				content = group(place, service.Draw(t, "service"), address.Draw(t, "address"))
			}
			list = append(list, publication{
				"settings-" + place, place, revision + 1, group(place, service.Draw(t, "service"), address.Draw(t, "address")),
			}, publication{"vms-" + place, place, revision + 1, fmt.Sprintf(
				`{"vms":[{"address":%q,"availability-zone":%q,"role":"backend-server","state":"leaving"}]}`, address.Draw(t, "vm"), place)})
		}
		list = append(list, publication{"settings", "", revision + 1, "place-documents = [" + placeDocuments + "]\n" + rootHead + regions + content})
	}
	return list
}

// TestAnyOrderOfArrival guards against daemons that hold the same documents but different views because the documents
// arrived in different orders, against a document that reverts to a lower revision, and against an address that belongs
// to two services (guarantees G2 and G8).
func TestAnyOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawPublications(t)
		first, second := newReplica(), newReplica()
		for _, r := range []*replica{first, second} {
			for _, p := range rapid.SliceOfN(rapid.SampledFrom(all), 0, 40).Draw(t, "arrivals") {
				r.offer(t, p)
			}
			// Finally each daemon fetches the newest revision of the documents that it follows. The second round fetches
			// those that the newest root added.
			for range 2 {
				for _, p := range rapid.Permutation(all).Draw(t, "order") {
					if p.revision == 4 {
						r.offer(t, p)
					}
				}
			}
		}
		g := NewWithT(t)
		g.Expect(first.MissingDocuments()).To(BeEmpty())
		a, b := first.lastView, second.lastView
		g.Expect(a.Tree.Documents()).To(Equal(b.Tree.Documents()))
		g.Expect(a.Tree.BackendServers).To(Equal(b.Tree.BackendServers))
		g.Expect(a.VMList).To(Equal(b.VMList))
		g.Expect(first.DocumentsInForce()[0].Revision).To(Equal(uint64(4)))
	})
}

func ExampleCombiner() {
	c := reviser.NewCombiner("souillac")
	parseRoot := func(revision uint64, extra string) *settings.Tree {
		t, err := settings.Parse("settings", revision, []byte(extra+rootHead))
		if err != nil {
			panic(err)
		}
		return t
	}
	c.SetRoot(parseRoot(1, ""))
	c.SetRoot(parseRoot(2, "place-documents = [\"souillac\"]\n"))
	fmt.Println(c.DocumentsInForce()[0].Revision, c.MissingDocuments())
	d, _ := settings.ParsePlaceDocument("f", "souillac", 7, []byte(group("souillac", "desk", "10.1.0.1:1")))
	c.SetPlaceDocument(d)
	fmt.Println(c.DocumentsInForce()[0].Revision, c.DocumentsInForce()[1].Revision, c.MissingDocuments())
	// Output:
	// 1 [settings-souillac]
	// 2 7 []
}

// TestPlaceDocumentAppliedWhileRootWaits guards against a newer revision of a place document that is not put in force
// while the newest root waits for another document, and against conflicts that are reported more than once.
func TestPlaceDocumentAppliedWhileRootWaits(t *testing.T) {
	g := NewWithT(t)
	c := reviser.NewCombiner("souillac")
	setRoot := func(revision uint64, places string) {
		tree, err := settings.Parse("f", revision, []byte("place-documents = ["+places+"]\n"+rootHead+regions))
		g.Expect(err).NotTo(HaveOccurred())
		c.SetRoot(tree)
	}
	setPlace := func(name string, revision uint64, service string) {
		d, err := settings.ParsePlaceDocument("f", name, revision, []byte(group(name, service, "10.1.0.1:1")))
		g.Expect(err).NotTo(HaveOccurred())
		c.SetPlaceDocument(d)
	}
	setRoot(1, `"souillac"`)
	setPlace("souillac", 1, "desk")
	setRoot(2, `"souillac", "mahebourg"`)
	setPlace("souillac", 2, "desk")
	v, _ := c.View()
	g.Expect(v.Tree.Revision).To(Equal(uint64(1)))
	g.Expect(v.DocumentFor("souillac").Revision).To(Equal(uint64(2)))
	setPlace("mahebourg", 1, "ovenwatch")
	v, conflicts := c.View()
	g.Expect(v.Tree.Revision).To(Equal(uint64(2)))
	g.Expect(v.Tree.BackendServers).To(BeEmpty())
	g.Expect(conflicts).To(HaveLen(1))
	_, conflicts = c.View()
	g.Expect(conflicts).To(BeEmpty())
}

// TestReleaseKeepsMinRevision guards against a document that reverts to a lower revision after it was not followed for a
// while.
func TestReleaseKeepsMinRevision(t *testing.T) {
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
