// Package settings holds the settings tree: services, places (availability zones), backend servers, token keys and the
// tunables, which each level inherits, key by key, from the level above it (root, place, service, group).
package settings

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
)

// Service is one load-balanced service and the address that callers use.
type Service struct {
	Name    string
	ID      uint64
	Address netip.AddrPort
}

// Tunables are the values that every level of the tree may set.
type Tunables struct {
	Slots          int // requests that a backend server can run at a time
	Connections    int // feeds that a backend server can hold at a time
	DrainTime      time.Duration
	RequestTimeout time.Duration
	RetryBudget    float64 // retries allowed per first attempt
	Policy         string
	SlowStart      time.Duration // in which the share of a new or recovered backend server grows to its full value
	HealthInterval time.Duration
	HealthTimeout  time.Duration
	TokenLifetime  time.Duration
	Weight         float64
	Priority       int           // of the requests of the service, 0 is the highest
	TargetLatency  time.Duration // time within which clients need an answer; 0: none
}

// BackendServer is one backend server with the tunables in force for it.
type BackendServer struct {
	Name             string
	Address          netip.AddrPort
	HealthAddress    netip.AddrPort
	Service          string
	AvailabilityZone string
	Group            string
	Leaving          bool
	Evacuated        bool      // its place is evacuated
	Tunables         *Tunables // shared by backend servers with equal values; not changed after Parse
}

// TakesNewWork reports whether the documents allow new requests and feeds on the backend server.
func (b *BackendServer) TakesNewWork() bool { return !b.Leaving && !b.Evacuated }

// CallerGroup names the callers whose addresses match one of the prefixes.
type CallerGroup struct {
	Name     string
	Prefixes []netip.Prefix
}

// Region is a set of places (availability zones) and the one-way network delays within it.
type Region struct {
	Name        string
	Places      []string
	ZoneDelay   time.Duration // between two places of the region
	CallerDelay time.Duration // between a place and its callers
}

// Tree is one valid revision of the root document, alone or composed with place documents. It is not changed after Parse
// and Compose.
type Tree struct {
	Revision       uint64
	Services       []Service // sorted by name
	BackendServers []BackendServer
	TokenKeys      []sealer.Key
	SealingKeyID   uint8
	CallerGroups   []CallerGroup
	Regions        []Region
	// DelegatedPlaces lists the places that have documents of their own, sorted by name.
	DelegatedPlaces []string
	// AllowFullEvacuation permits that every place is evacuated.
	AllowFullEvacuation bool

	defaults       overrides
	places         map[string]placeNode
	placeDocuments map[string]Document // the place documents composed into this tree, by place
}

// placeNode and serviceNode hold the values that a document sets at each level; a group has only overrides.
type placeNode struct {
	overrides    overrides
	evacuated    bool
	serviceNodes map[string]serviceNode
}

type serviceNode struct {
	overrides overrides
	groups    map[string]overrides
}

// ServiceID returns the id of a service: the 64-bit FNV-1a hash of its name.
func ServiceID(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash returns no error
	return h.Sum64()
}
