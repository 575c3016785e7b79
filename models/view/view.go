// Package view holds immutable, indexed snapshots of the settings tree and the VM list. Lookups do not allocate.
package view

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
)

// View is one snapshot of all documents. It is safe for concurrent use.
type View struct {
	Tree   *settings.Tree
	VMList *fleet.List

	// The indexes point to elements of Tree.Services and of one slice of backend servers, and to shared tunables.
	serviceByAddress  map[netip.AddrPort]*settings.Service
	serviceByID       map[uint64]*settings.Service
	serverByAddress   map[netip.AddrPort]*settings.BackendServer
	serversOf         map[string][]settings.BackendServer
	tunablesByService map[string]*settings.Tunables
	tunablesByPlace   map[placeService]*settings.Tunables
	defaults          settings.Tunables
	groups            prefixTable
	revisions         map[uint32]uint64 // of the settings documents, by id
}

type placeService struct{ place, service string }

// New returns the view of a settings tree, composed with its place documents, and a VM list. A nil tree or list is treated
// as an empty one.
func New(t *settings.Tree, l *fleet.List) *View {
	if t == nil {
		t = &settings.Tree{}
	}
	if l == nil {
		l = &fleet.List{}
	}
	v := &View{
		Tree:              t,
		VMList:            l,
		serviceByAddress:  make(map[netip.AddrPort]*settings.Service, len(t.Services)),
		serviceByID:       make(map[uint64]*settings.Service, len(t.Services)),
		serverByAddress:   make(map[netip.AddrPort]*settings.BackendServer, len(t.BackendServers)),
		serversOf:         make(map[string][]settings.BackendServer, len(t.Services)),
		tunablesByService: make(map[string]*settings.Tunables, len(t.Services)),
		tunablesByPlace:   map[placeService]*settings.Tunables{},
		groups:            newPrefixTable(t.CallerGroups),
		revisions:         map[uint32]uint64{},
	}
	for _, d := range t.Documents() {
		v.revisions[d.ID] = d.Revision
	}
	for i := range t.Services {
		s := &t.Services[i]
		v.serviceByAddress[s.Address] = s
		v.serviceByID[s.ID] = s
	}
	v.indexServers()
	v.indexTunables()
	return v
}

func (v *View) indexServers() {
	leaving := make(map[netip.AddrPort]bool)
	for _, vm := range v.VMList.VMs {
		if vm.Leaving && vm.Role == fleet.BackendServer {
			leaving[vm.Address] = true
		}
	}
	servers := slices.Clone(v.Tree.BackendServers)
	slices.SortFunc(servers, func(a, b settings.BackendServer) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), a.Address.Compare(b.Address))
	})
	first := 0
	for i := range servers {
		s := &servers[i]
		s.Leaving = s.Leaving || leaving[s.Address]
		v.serverByAddress[s.Address] = s
		if end := i + 1; end == len(servers) || servers[end].Service != s.Service {
			v.serversOf[s.Service] = servers[first:end:end]
			first = end
		}
	}
}

func (v *View) indexTunables() {
	v.defaults, _ = v.Tree.TunablesAt("", "", "") // the root always exists
	interned := map[settings.Tunables]*settings.Tunables{}
	intern := func(t settings.Tunables) *settings.Tunables {
		if interned[t] == nil {
			interned[t] = &t
		}
		return interned[t]
	}
	for i := range v.Tree.Services {
		name := v.Tree.Services[i].Name
		v.tunablesByService[name] = intern(v.Tree.ServiceTunables(name))
		for _, place := range v.Tree.PlacesOf(name) {
			t, _ := v.Tree.TunablesAt(place, name, "") // PlacesOf returns places that have the service
			v.tunablesByPlace[placeService{place, name}] = intern(t)
		}
	}
}

// ServiceAt returns the service that callers reach at the address.
func (v *View) ServiceAt(address netip.AddrPort) (settings.Service, bool) {
	return deref(v.serviceByAddress[unmap(address)])
}

// ServiceByID returns the service with the id.
func (v *View) ServiceByID(id uint64) (settings.Service, bool) {
	return deref(v.serviceByID[id])
}

// BackendServerAt returns the backend server with the address.
func (v *View) BackendServerAt(address netip.AddrPort) (settings.BackendServer, bool) {
	return deref(v.serverByAddress[unmap(address)])
}

// BackendServersOf returns the backend servers of the service, sorted by address. Leaving is set if the settings or
// the VM list say so. The slice must not be changed.
func (v *View) BackendServersOf(service string) []settings.BackendServer { return v.serversOf[service] }

// DocumentRevision returns the revision of the settings document with the id, if the view includes that document.
func (v *View) DocumentRevision(document uint32) (uint64, bool) {
	revision, ok := v.revisions[document]
	return revision, ok
}

// HasOlderRevisionThan reports whether any settings document has a lower revision in v than in the other view.
func (v *View) HasOlderRevisionThan(other *View) bool {
	for id, revision := range v.revisions {
		if otherRevision, ok := other.revisions[id]; ok && revision < otherRevision {
			return true
		}
	}
	return false
}

// DocumentFor returns the settings document that defines a place.
func (v *View) DocumentFor(place string) settings.Document { return v.Tree.DocumentFor(place) }

// Tunables returns the tunables of the service independently of the place: the values on which its places agree, and the
// root's values for the others.
func (v *View) Tunables(service string) settings.Tunables {
	if t, ok := v.tunablesByService[service]; ok {
		return *t
	}
	return v.defaults
}

// TunablesAt returns the tunables of the service in the place, or those of Tunables if the place does not run the service.
func (v *View) TunablesAt(place, service string) settings.Tunables {
	if t, ok := v.tunablesByPlace[placeService{place, service}]; ok {
		return *t
	}
	return v.Tunables(service)
}

// CallerGroup returns the caller group with the longest prefix that contains the address, or "" if there is none.
func (v *View) CallerGroup(caller netip.Addr) string { return v.groups.lookup(caller.Unmap()) }

// deref returns the value that p points to, or false if p is nil.
func deref[T any](p *T) (v T, ok bool) {
	if p == nil {
		return v, false
	}
	return *p, true
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
