package settings_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

func parseRoot(t testing.TB, extra string) *settings.Tree {
	t.Helper()
	tree, err := settings.Parse("settings", 4, []byte("seal-with = 1\nplace-documents = [\"mahebourg\", \"souillac\"]\n"+
		"token-keys = [{ id = 1, secret = \""+strings.Repeat("a", 64)+"\" }]\n"+
		"services.ovenwatch.address = \"10.0.0.1:7000\"\nservices.desk.address = \"10.0.0.2:7000\"\ndefaults.slots = 7\n"+extra))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// placeDocument returns a place document with one group for each service, which lists backend servers with the addresses.
func placeDocument(t testing.TB, place string, revision uint64, services map[string][]string) *settings.PlaceDocument {
	t.Helper()
	content := "[places." + place + "]\n"
	for service, addresses := range services {
		content += fmt.Sprintf("[places.%s.services.%s.groups.g]\nbackend-servers = [\n", place, service)
		for i, a := range addresses {
			content += fmt.Sprintf("{ name = \"%s-%d\", address = \"%s\" },\n", service, i, a)
		}
		content += "]\n"
	}
	d, err := settings.ParsePlaceDocument(settings.PlaceDocumentName(place), place, revision, []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func ExampleCompose() {
	root, _ := settings.Parse("settings", 8, []byte(`
place-documents = ["souillac"]
seal-with = 1
token-keys = [{ id = 1, secret = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f" }]
services.ovenwatch.address = "10.0.0.1:7000"
defaults.slots = 3
`))
	souillac, _ := settings.ParsePlaceDocument("settings-souillac", "souillac", 2, []byte(`
[places.souillac.services.ovenwatch]
weight = 2
groups.main.backend-servers = [{ name = "oven-1", address = "10.1.0.1:9000" }]
`))
	tree, conflicts := settings.Compose(root, []*settings.PlaceDocument{souillac})
	fmt.Println(len(tree.BackendServers), tree.BackendServers[0].Tunables.Slots, tree.DocumentFor("souillac").Revision, conflicts)
	values, _ := tree.EffectiveValues("souillac", "ovenwatch", "main")
	fmt.Println(values[0], values[10])
	// Output:
	// 1 3 2 []
	// {slots 3 defaults} {weight 2 places.souillac.services.ovenwatch (settings-souillac)}
}

// TestInvalidPlaceDocuments guards against place documents that define more than their place, and against a root that
// defines a delegated place.
func TestInvalidPlaceDocuments(t *testing.T) {
	g := NewWithT(t)
	for content, want := range map[string]string{
		"":                                 "places: missing",
		"[places.mahebourg]":               "places.mahebourg: a place document defines only one place",
		"[places.souillac]\n[places.b]":    "places.b: a place document defines only one place",
		"seal-with = 1\n[places.souillac]": "seal-with: unknown key",
		"[places.souillac]\nhealth-interval = \"1s\"\nhealth-timeout = \"2s\"":        "health-timeout 2s exceeds health-interval 1s",
		"[places.souillac.services.Oven]":                                             `invalid name "Oven"`,
		"[places.souillac.services.a.groups.g]\nbackend-servers = [{ name = \"a\" }]": "backend-servers[0].address: missing",
	} {
		_, err := settings.ParsePlaceDocument("f", "souillac", 1, []byte(content))
		g.Expect(inspector.IsErrInvalid(err)).To(BeTrue(), content)
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
	for extra, want := range map[string]string{
		`place-documents = ["souillac"]`:                               `places.souillac: place-documents says that document settings-souillac defines this place`,
		`place-documents = ["b", "b"]`:                                 `place "b" is listed twice`,
		`place-documents = ["B"]`:                                      `invalid name "B"`,
		"place-documents = [\"b\"]\nregions.r.places = [\"souillac\"]": `no region lists place "b"`,
	} {
		_, err := settings.Parse("f", 1, []byte(extra+"\n"+exampleDocument))
		g.Expect(err).To(MatchError(ContainSubstring(want)), extra)
	}
}

// TestConflictsBetweenDocuments guards against conflicts between documents that are valid individually: the entries must
// be left out and reported.
func TestConflictsBetweenDocuments(t *testing.T) {
	g := NewWithT(t)
	tree, conflicts := settings.Compose(parseRoot(t, "defaults.health-interval = \"600ms\"\n"), []*settings.PlaceDocument{
		placeDocument(t, "souillac", 1, map[string][]string{"ovenwatch": {"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"}, "new": {"10.1.0.9:1"}}),
		placeDocument(t, "mahebourg", 1, map[string][]string{"desk": {"10.1.0.2:1", "10.0.0.1:7000"}, "ovenwatch": {"10.1.0.3:1"}, "other": {"10.1.0.9:1"}}),
		placeDocument(t, "elsewhere", 1, map[string][]string{"desk": {"10.1.0.1:1"}}),
	})
	var addresses, causes []string
	for _, s := range tree.BackendServers {
		addresses = append(addresses, s.AvailabilityZone+" "+s.Address.String())
		g.Expect(s.Tunables.Slots).To(Equal(7), "the defaults of the root apply")
	}
	g.Expect(addresses).To(ConsistOf("souillac 10.1.0.1:1", "mahebourg 10.1.0.3:1"))
	for _, c := range conflicts {
		causes = append(causes, c.Document+": "+c.Cause)
	}
	g.Expect(causes).To(ConsistOf(
		ContainSubstring(`backend server 10.0.0.1:7000 has the address of service "ovenwatch"`),
		ContainSubstring(`service "other" is not declared`), ContainSubstring(`service "new" is not declared`),
		ContainSubstring(`10.1.0.2:1 is listed under service "ovenwatch" here and under "desk" in settings-mahebourg`),
		ContainSubstring(`10.1.0.9:1 is listed under service "new" here and under "other"`),
		ContainSubstring(`10.1.0.3:1 of service "ovenwatch" is also listed in settings-mahebourg`),
	))
	_, err := tree.EffectiveValues("souillac", "new", "")
	g.Expect(settings.IsErrUnknownNode(err)).To(BeTrue())
}

// TestHealthAcrossDocuments guards against health checks that overlap because the timeout and the interval are set in
// different documents.
func TestHealthAcrossDocuments(t *testing.T) {
	g := NewWithT(t)
	d, err := settings.ParsePlaceDocument("f", "souillac", 1, []byte("[places.souillac]\nhealth-timeout = \"900ms\"\n"+
		"services.desk.groups.g.backend-servers = [{ name = \"a\", address = \"10.1.0.1:1\" }]\n"))
	g.Expect(err).NotTo(HaveOccurred())
	tree, conflicts := settings.Compose(parseRoot(t, "defaults.health-interval = \"600ms\"\n"), []*settings.PlaceDocument{d})
	g.Expect(conflicts).To(HaveLen(1))
	g.Expect(tree.BackendServers[0].Tunables.HealthTimeout).To(Equal(600 * time.Millisecond))
}

// TestComposeIsDeterministic guards against daemons that build different trees from the same documents, and against an
// address under two services (guarantee G2).
func TestComposeIsDeterministic(t *testing.T) {
	services := []string{"ovenwatch", "desk", "undeclared"}
	rapid.Check(t, func(rt *rapid.T) {
		var documents []*settings.PlaceDocument
		for i, place := range []string{"souillac", "mahebourg", "elsewhere"} {
			listed := map[string][]string{}
			used := map[string]bool{}
			for range rapid.IntRange(0, 8).Draw(rt, "servers") {
				a := fmt.Sprintf("10.1.0.%d:1", rapid.IntRange(1, 9).Draw(rt, "address"))
				if !used[a] { // a document that lists an address twice is invalid on its own
					s := rapid.SampledFrom(services).Draw(rt, "service")
					listed[s], used[a] = append(listed[s], a), true
				}
			}
			documents = append(documents, placeDocument(t, place, uint64(i+1), listed))
		}
		base := parseRoot(t, "places.own.services.desk.groups.g.backend-servers = [{ name = \"d\", address = \"10.1.0.1:1\" }]\n")
		first, conflicts := settings.Compose(base, documents)
		again, conflictsAgain := settings.Compose(base, rapid.Permutation(documents).Draw(rt, "order"))
		g := NewWithT(rt)
		g.Expect(again.BackendServers).To(Equal(first.BackendServers))
		g.Expect(conflictsAgain).To(Equal(conflicts))
		serviceOf := map[netip.AddrPort]string{}
		for _, s := range first.BackendServers {
			g.Expect(serviceOf).NotTo(HaveKey(s.Address), "listed at most once")
			serviceOf[s.Address] = s.Service
			g.Expect(s.Service).NotTo(Equal("undeclared"))
		}
	})
}

// TestFollowedPlaces guards against daemons that follow documents of other regions, or not all documents of their own
// region.
func TestFollowedPlaces(t *testing.T) {
	g := NewWithT(t)
	tree := parseRoot(t, "regions.r.places = [\"souillac\", \"mahebourg\"]\nregions.q.places = [\"sfax\"]\n")
	g.Expect(tree.FollowedPlaces("souillac")).To(Equal([]string{"mahebourg", "souillac"}))
	g.Expect(tree.FollowedPlaces("sfax")).To(BeEmpty())
	g.Expect(parseRoot(t, "").FollowedPlaces("souillac")).To(Equal([]string{"souillac"}))
}
