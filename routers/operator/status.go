// Package operator implements the queries of operators to a daemon, the server and the client, with JSON-RPC 2.0 over TCP. The
// methods are status and audit; both are read-only.
package operator

import (
	"net/netip"
	"time"
)

// State is the lifecycle state of a daemon.
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
	SettingsRevision uint64 // 0 if none is in force
	VMsRevision      uint64
	Documents        []Document
	EvacuatedPlaces  []string // sorted by name
	Peers            []Peer
	BackendServers   []BackendServer
	// EndedFlows is the number of established flows that this daemon ended because their backend server had been removed.
	EndedFlows uint64
	// Imbalance is the largest ratio of the open feeds at a backend server to the mean of its service, as estimated by this
	// daemon; 1 means that the load is balanced.
	Imbalance float64
	Counters  map[string]uint64
	// Views and Admission are set by a daemon that forwards with direct return.
	Views     []View
	Admission []Admission
}

// View is a part of what a daemon with direct return knows from the platform.
type View struct {
	Name string
	// Era and Revision are its position in the platform's store. Version is that of a configuration, 0 for other views.
	Era, Revision, Version uint64
	Age                    time.Duration // since it was last known to be current
	// Source is where its current content came from: "platform", the address of a peer, or "" while there is none.
	Source string
	// IsReader is set while the daemon reads the view from the platform for its peers.
	IsReader bool
}

// Admission is the admission control of a service at a daemon with direct return.
type Admission struct {
	Service    string
	Overloaded bool
	Signal     float64       // mean delay of responses as a share of the target latency, each at most 1
	Delay      time.Duration // mean delay of responses
	Level      float64       // admitted requests in progress
	Waiting    int           // requests held
}

// Document is one document that the daemon follows.
type Document struct {
	Name         string
	Revision     uint64 // revision in force, 0 if there is none
	HeldRevision uint64 // newest revision received; higher than Revision while the settings root waits for a place document
}

// Peer is another daemon in the membership view of this one.
type Peer struct {
	Address          netip.AddrPort
	AvailabilityZone string
	State            string // such as alive, suspect, dead
}

// BackendServer is the state of one backend server in the view of this daemon.
type BackendServer struct {
	Address          netip.AddrPort
	Service          string
	AvailabilityZone string
	State            string // such as live, warming, leaving, evacuated
	// Incarnation is the start time of the backend server's process in Unix ms, 0 while it is unknown.
	Incarnation uint64
	InFlight    int
	OpenFeeds   int // with direct return, the open flows that pass through the daemon
	Ejected     bool
}

// JSON-RPC methods.
const (
	methodStatus = "status"
	methodAudit  = "audit"
)

// Limits of the server.
const (
	// MaxAuditEntries is the maximum number of entries in an audit reply.
	MaxAuditEntries = 1000
	// maxConnections limits the memory that clients can occupy in a daemon.
	maxConnections = 16
	// connectionTimeout is the maximum lifetime of a connection. It is long enough for any query, and closes connections that clients
	// leave open.
	connectionTimeout = time.Minute
	// maxQueryBytes limits what is read on one connection: hundreds of queries.
	maxQueryBytes = 64 << 10
)
