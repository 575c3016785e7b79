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

	// The values refer to the elements of Tree.Services and of one slice of backend servers, and to shared tunables.
	serviceAt  map[netip.AddrPort]*settings.Service
	serviceBy  map[uint64]*settings.Service
	serverAt   map[netip.AddrPort]*settings.BackendServer
	serversOf  map[string][]settings.BackendServer
	tunables   map[string]*settings.Tunables
	tunablesAt map[placeService]*settings.Tunables
	defaults   settings.Tunables
	callers    callerTable
	revisions  map[uint32]uint64 // of the settings documents, by id
}

type placeService struct{ place, service string }

// New returns the view of a settings tree, composed with its place documents, and a VM list. A nil tree or list counts as an empty one.
func New(t *settings.Tree, l *fleet.List) *View {
	if t == nil {
		t = &settings.Tree{}
	}
	if l == nil {
		l = &fleet.List{}
	}
	v := &View{
		Tree:       t,
		VMList:     l,
		serviceAt:  make(map[netip.AddrPort]*settings.Service, len(t.Services)),
		serviceBy:  make(map[uint64]*settings.Service, len(t.Services)),
		serverAt:   make(map[netip.AddrPort]*settings.BackendServer, len(t.BackendServers)),
		serversOf:  make(map[string][]settings.BackendServer, len(t.Services)),
		tunables:   make(map[string]*settings.Tunables, len(t.Services)),
		tunablesAt: map[placeService]*settings.Tunables{},
		callers:    newCallerTable(t.CallerGroups),
		revisions:  map[uint32]uint64{},
	}
	for _, d := range t.Documents() {
		v.revisions[d.ID] = d.Revision
	}
	for i := range t.Services {
		s := &t.Services[i]
		v.serviceAt[s.Address] = s
		v.serviceBy[s.ID] = s
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
	begin := 0
	for i := range servers {
		s := &servers[i]
		s.Leaving = s.Leaving || leaving[s.Address]
		v.serverAt[s.Address] = s
		if end := i + 1; end == len(servers) || servers[end].Service != s.Service {
			v.serversOf[s.Service] = servers[begin:end:end]
			begin = end
		}
	}
}

func (v *View) indexTunables() {
	v.defaults, _ = v.Tree.TunablesAt("", "", "") // the root always exists
	known := map[settings.Tunables]*settings.Tunables{}
	share := func(t settings.Tunables) *settings.Tunables {
		if known[t] == nil {
			known[t] = &t
		}
		return known[t]
	}
	for i := range v.Tree.Services {
		name := v.Tree.Services[i].Name
		v.tunables[name] = share(v.Tree.ServiceTunables(name))
		for _, place := range v.Tree.PlacesOf(name) {
			t, _ := v.Tree.TunablesAt(place, name, "") // PlacesOf returns places that have the service
			v.tunablesAt[placeService{place, name}] = share(t)
		}
	}
}

// ServiceAt returns the service that callers reach at the address.
func (v *View) ServiceAt(address netip.AddrPort) (settings.Service, bool) {
	return value(v.serviceAt[unmap(address)])
}

// ServiceByID returns the service with the id.
func (v *View) ServiceByID(id uint64) (settings.Service, bool) {
	return value(v.serviceBy[id])
}

// BackendServerAt returns the backend server with the address.
func (v *View) BackendServerAt(address netip.AddrPort) (settings.BackendServer, bool) {
	return value(v.serverAt[unmap(address)])
}

// BackendServersOf returns the backend servers of the service, sorted by address. Leaving is set when the settings or
// the VM list say so. The caller must not change the slice.
func (v *View) BackendServersOf(service string) []settings.BackendServer { return v.serversOf[service] }

// DocumentRevision returns the revision of the settings document with the id, if the view is made of it.
func (v *View) DocumentRevision(document uint32) (uint64, bool) {
	revision, ok := v.revisions[document]
	return revision, ok
}

// HasOlderRevisionThan reports whether a document has a lower revision in v than in the other view.
func (v *View) HasOlderRevisionThan(other *View) bool {
	for id, revision := range v.revisions {
		if later, ok := other.revisions[id]; ok && revision < later {
			return true
		}
	}
	return false
}

// DocumentFor returns the settings document that defines a place.
func (v *View) DocumentFor(place string) settings.Document { return v.Tree.DocumentFor(place) }

// Tunables returns the tunables of the service as far as its places agree, and the root's values for the others.
func (v *View) Tunables(service string) settings.Tunables {
	if t, ok := v.tunables[service]; ok {
		return *t
	}
	return v.defaults
}

// TunablesAt returns the tunables of the service in the place, or those of the service when the place does not have it.
func (v *View) TunablesAt(place, service string) settings.Tunables {
	if t, ok := v.tunablesAt[placeService{place, service}]; ok {
		return *t
	}
	return v.Tunables(service)
}

// CallerGroup returns the group with the longest prefix that holds the caller, or "" when there is none.
func (v *View) CallerGroup(caller netip.Addr) string { return v.callers.find(caller.Unmap()) }

// value returns what p points to, and whether it points to anything.
func value[T any](p *T) (v T, ok bool) {
	if p == nil {
		return v, false
	}
	return *p, true
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
