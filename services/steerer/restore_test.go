package steerer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// listIn puts a backend list of an era of the platform's store in force.
func (d *daemon) listIn(era uint64, servers ...directory.BackendServer) {
	d.SetBackendList(d.now, &directory.BackendList{Position: directory.Position{Era: era, Revision: 1}, Servers: servers})
}

// TestRestoredEntries guards against new flows at a backend server that has left, is leaving or has restarted, because a restored store
// lists it again as it was before.
func TestRestoredEntries(t *testing.T) {
	g := NewWithT(t)
	gone, leaving, restarted, stays := newBackendServer(1, "ovenwatch", "souillac"), newBackendServer(2, "ovenwatch", "souillac"),
		newBackendServer(3, "ovenwatch", "souillac"), newBackendServer(4, "ovenwatch", "souillac")
	copied := []directory.BackendServer{gone, leaving, restarted, stays}
	d := newDaemon(1, ovenConfiguration)
	d.listIn(1, copied...)
	leaving.Leaving = true
	restarted.Incarnation, restarted.Address = 2, newBackendServer(30, "", "").Address
	d.listIn(1, leaving, restarted, stays)
	d.advance(8 * time.Second)
	d.listIn(2, copied...)
	d.advance(time.Second)
	g.Expect(d.countPlacedAt(1, 20)+d.countPlacedAt(2, 20)).To(BeZero(), "the entries are those of the copy")
	g.Expect(d.Steer(d.now, d.openingPacket()).Address).NotTo(Equal(copied[2].Address), "the process at this address has ended")
	d.listIn(2, gone, leaving, restarted, stays)
	g.Expect(d.countPlacedAt(2, 20)).To(BeZero(), "written again")
	g.Expect(d.countPlacedAt(3, 20)).To(BeNumerically(">", 0), "written again")
	d.advance(5 * time.Second)
	d.Sweep(d.now)
	g.Expect(d.countPlacedAt(1, 20)).To(BeNumerically(">", 0), "an entry that does not expire is that of a running backend server")
	g.Expect(d.countPlacedAt(2, 20)).To(BeZero())
}

// TestEntriesLostByRestore guards against backend servers that get no new flows, or lose those that they have, because a restored store
// lacks their entries until they write them again.
func TestEntriesLostByRestore(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, ovenConfiguration)
	added := newBackendServer(1, "ovenwatch", "souillac")
	d.listIn(1, added)
	p, _ := d.openFlow()
	d.listIn(2)
	d.advance(2 * time.Second)
	g.Expect(d.countPlacedAt(1, 5)).To(Equal(5))
	d.listIn(2, added)
	d.advance(time.Second)
	g.Expect(d.countPlacedAt(1, 5)).To(Equal(5))
	g.Expect(d.Steer(d.now, p).Server).To(Equal(directory.ServerID(1)))
}
