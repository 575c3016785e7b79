package forwarder_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
	"github.com/bluebelldyke/bluebelldyke/services/forwarder"
)

const splitTree = `place-documents = ["souillac"]
seal-with = 1
[[token-keys]]
id = 1
secret = "141b222930373e454c535a61686f767d848b9299a0a7aeb5bcc3cad1d8dfe6ed"
[services.ovenwatch]
address = "127.0.53.1:7001"
[services.recipecard]
address = "127.0.53.2:7002"
`

func splitView(t testing.TB, root, place uint64, ovens string) *view.View {
	t.Helper()
	tree, err := settings.Parse("settings", root, []byte(splitTree))
	if err != nil {
		t.Fatal(err)
	}
	d, err := settings.ParsePlace("settings-souillac", "souillac", place, []byte(
		"[places.souillac.services.ovenwatch.groups.main]\nbackend-servers = ["+ovens+"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	tree, _ = settings.Compose(tree, []*settings.PlaceDocument{d})
	return view.New(tree, nil)
}

// TestRevisionsPerDocument guards against a balancer that compares the revision of one document with that of another: it
// would end flows that its view is too old to know, or drop packets of flows that have ended.
func TestRevisionsPerDocument(t *testing.T) {
	g := NewWithT(t)
	newer := newBalancer(t, self, splitView(t, 3, 8, server(oven2, "live")))
	token, _ := newer.open()
	late := newBalancer(t, other, splitView(t, 9, 7, server(oven1, "live")))
	late.send(ovenwatch, feedPacket(token))
	g.Expect(late.out.List).To(HaveLen(1), "the root is newer, but the place document is older")
	g.Expect(late.out.List[0]).To(Equal(forwarder.Action{
		Target: forwarder.RefreshView, Document: settings.DocumentID("settings-souillac"), Revision: 8,
	}))
	g.Expect(late.SetView(start, splitView(t, 9, 8, server(oven1, "live")))).To(Succeed())
	late.send(ovenwatch, feedPacket(token))
	g.Expect(late.toCaller()[0].Kind).To(Equal(framer.KindEnded))
	g.Expect(late.SetView(start, splitView(t, 10, 7, server(oven2, "live")))).To(Succeed(), "a lower place document is ignored")
	g.Expect(late.Revision()).To(Equal(uint64(9)))
}

// TestMovedToPlaceDocument guards against flows that end because the place of their target moved to a document of its
// own, at balancers on both sides of the change, and against a fetch of a document that the receiver does not follow.
func TestMovedToPlaceDocument(t *testing.T) {
	g := NewWithT(t)
	whole, split := newBalancer(t, self, standardView(t, 5)), newBalancer(t, other, splitView(t, 6, 1, server(oven1, "live")+","+server(oven2, "live")))
	for _, pair := range [][2]*balancer{{whole, split}, {split, whole}} {
		token, target := pair[0].open()
		pair[1].send(ovenwatch, feedPacket(token))
		_, targets := pair[1].toBackend()
		g.Expect(targets).To(HaveExactElements(target))
		g.Expect(pair[1].out.List).To(HaveLen(1), "nothing is fetched")
	}
	token, target := split.open()
	left := oven1
	if target == oven1 {
		left = oven2
	}
	without := newBalancer(t, self, newView(t, 5, server(left, "live"), server(recipe1, "live")))
	without.send(ovenwatch, feedPacket(token))
	g.Expect(without.out.List).To(BeEmpty(), "dropped without a reply")

	split.send(ovenwatch, framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}})
	reserved := split.toCaller()[0].Token
	tokens, err := sealer.New(sealer.Config{Keys: splitView(t, 6, 1, "").Tree.Keys, SealKeyID: 1})
	g.Expect(err).NotTo(HaveOccurred())
	gate, err := tokens.Open(reserved, ovenwatch)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gate.DocumentID).To(Equal(settings.RootID))
	g.Expect(gate.Revision).To(Equal(uint64(6)))
}
