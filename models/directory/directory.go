// Package directory holds the service data of direct-return forwarding: the routes that callers use and the backend
// servers that registered themselves with the platform.
package directory

import (
	"net/netip"
	"time"
)

// ServerID identifies a backend server on the wire. A backend server may keep its id after a restart.
type ServerID uint64

// BackendServer is one registered backend server.
type BackendServer struct {
	ID               ServerID
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	// Leaving is set while the backend server drains: it keeps its flows and must get no new ones.
	Leaving bool
	// RemainingWarmUp is how much longer the backend server will be slow after its start.
	RemainingWarmUp time.Duration
	// Incarnation is the start time of the process in Unix milliseconds, as the backend server reports it. It serves only
	// to distinguish two processes with the same id.
	Incarnation int64
	// Revision is the revision of the entry in the platform's store.
	Revision uint64
}

// Departure states that the entry of a backend server was removed.
type Departure struct {
	ID ServerID
	// Age is the time since then.
	Age time.Duration
}

// Share is the part of a route's new flows that a service gets, in proportion to Weight.
type Share struct {
	Service string
	Weight  int
}

// Route maps an address that callers use to the services that serve it.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares has at least one entry and no negative weight.
	Shares  []Share
	Timeout time.Duration
	// TargetLatency is the time in which the operator wants requests to be answered; 0 if the configuration sets none.
	TargetLatency time.Duration
	Priority      int
}

// Configuration is one version of the operator's configuration, with all routes.
type Configuration struct {
	Version uint64
	// StoredAt is the position at which the platform's store holds this version, the zero position if it is unknown.
	StoredAt Position
	Routes   []Route
	// Services holds what the configuration states about services. Services that it does not mention have no entry.
	Services []Service
	// IdleTimeout is how long a flow may be idle before its state may be removed; 0 if the configuration sets none.
	IdleTimeout time.Duration
}

// Service holds what the configuration states about a service.
type Service struct {
	Name string
	// WarmUpPerSecond is the number of requests per second that a backend server can serve while it warms up.
	WarmUpPerSecond float64
}

// Evacuations are the availability zones that operators have evacuated, at one position of the platform's store. Backend servers in
// them must get no new flows.
type Evacuations struct {
	Position
	Zones []string // sorted
}

// EvacuationChange is one change of the evacuated availability zones.
type EvacuationChange struct {
	AvailabilityZone string
	Evacuated        bool
	// Revision is the revision of the change in the platform's store.
	Revision uint64
}

// BackendList is the list of backend servers at one position of the platform's store.
type BackendList struct {
	Position
	Servers []BackendServer
	// RejectedEntries counts the entries that describe no usable backend server.
	RejectedEntries int
}
