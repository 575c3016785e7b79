// Package operator answers an operator's queries about one daemon by JSON-RPC 2.0 over TCP, and holds the client for
// them. The methods are status and audit; neither changes anything.
package operator

import (
	"net/netip"
	"time"
)

// State tells where a daemon is in its life.
type State string

// The states of a daemon.
const (
	Starting State = "starting"
	Serving  State = "serving"
	Stopping State = "stopping"
)

// Status is the state of one daemon.
type Status struct {
	Name             string
	AvailabilityZone string
	Incarnation      uint64
	State            State
	SettingsRevision uint64 // 0 when none is in force
	VMsRevision      uint64
	Documents        []Document
	Peers            []Peer
	BackendServers   []BackendServer
	// EndedFlows counts established flows that this daemon had to end, because their backend server was gone.
	EndedFlows uint64
	// Imbalance is the largest number of open feeds at a backend server over the mean of its service, as this daemon
	// estimates it; 1 is even.
	Imbalance float64
	Counters  map[string]uint64
}

// Document is one document that the daemon follows.
type Document struct {
	Name         string
	Revision     uint64 // in force, 0 when none is
	HeldRevision uint64 // higher than Revision while a root waits for a place document
}

// Peer is another daemon as this one sees it.
type Peer struct {
	Address          netip.AddrPort
	AvailabilityZone string
	State            string // such as alive, suspect, dead
}

// BackendServer is one backend server as this daemon sees it.
type BackendServer struct {
	Address          netip.AddrPort
	Service          string
	AvailabilityZone string
	State            string // such as live, warming, leaving
	// Incarnation is the start time of the process in Unix ms, 0 as long as the daemon does not know it.
	Incarnation uint64
	InFlight    int
	OpenFeeds   int
	Ejected     bool
}

// Methods of the operator address.
const (
	methodStatus = "status"
	methodAudit  = "audit"
)

// Limits of the operator address.
const (
	// MaxAuditEntries bounds one audit reply.
	MaxAuditEntries = 1000
	// maxConnections bounds the memory that clients can take from a daemon.
	maxConnections = 16
	// connectionTime is long enough for any query and ends connections that a client has forgotten.
	connectionTime = time.Minute
)
