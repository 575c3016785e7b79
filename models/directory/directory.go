// Package directory holds what the daemons of direct-return forwarding know of services: the routes that callers use and
// the backend servers that registered themselves with the platform.
package directory

import (
	"net/netip"
	"time"
)

// ServerID names a backend server on the wire. A backend server that starts again may keep it.
type ServerID uint64

// BackendServer is one registered backend server.
type BackendServer struct {
	ID               ServerID
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	// Leaving is set when the backend server drains: it keeps its flows and must get no new ones.
	Leaving bool
	// RemainingWarmUp is how much longer the backend server stays slow after its start.
	RemainingWarmUp time.Duration
	// Incarnation is the start time in Unix milliseconds, as the backend server states it. It only tells two runs under
	// one id apart.
	Incarnation int64
	// Revision is the platform's revision of the entry.
	Revision uint64
}

// Share is the part of a route's new flows that a service gets.
type Share struct {
	Service string
	Weight  int
}

// Route is an address that callers use, with the services that serve it.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares has one entry at least, and no negative weight.
	Shares        []Share
	Timeout       time.Duration
	TargetLatency time.Duration
	Priority      int
}

// Configuration is one version of all routes.
type Configuration struct {
	Version uint64
	Routes  []Route
	// IdleTimeout is how long a flow may be silent before it may be forgotten; 0 when not stated.
	IdleTimeout time.Duration
}

// BackendList is the set of backend servers at one revision of the platform.
type BackendList struct {
	Revision uint64
	Servers  []BackendServer
	// RejectedEntries counts entries that name no usable backend server.
	RejectedEntries int
}
