package admin

import (
	"net/netip"
	"time"
)

// PlatformFaults are the faults of the platform stand-in. Each call replaces all of them.
type PlatformFaults struct {
	Outage        bool              `json:"outage,omitempty"`         // every document call fails with 503
	StaleRevision map[string]uint64 `json:"stale-revision,omitempty"` // document name → revision that is served instead
	VMsLag        Duration          `json:"vms-lag,omitempty"`        // delay before a new VM list is served
	CutPrefixes   []netip.Prefix    `json:"cut-prefixes,omitempty"`   // addresses of callers whose calls get no response
}

// PlatformCalls are the counts of document calls of the platform stand-in. A long poll is one call.
type PlatformCalls struct {
	Total    uint64            `json:"total"`
	ByCaller map[string]uint64 `json:"by-caller"`
	Since    time.Time         `json:"since"`
}

// FabricConfig is the configuration file of the fabric stand-in.
type FabricConfig struct {
	Seed      uint64           `json:"seed"`
	Admin     netip.AddrPort   `json:"admin"`
	Platform  netip.AddrPort   `json:"platform"`
	Services  []FabricService  `json:"services"`
	Balancers []FabricBalancer `json:"balancers"`
}

// FabricService is a service with its address.
type FabricService struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
}

// FabricBalancer is a balancer that is registered with the fabric.
type FabricBalancer struct {
	Name             string         `json:"name"`
	AvailabilityZone int            `json:"availability-zone"`
	Entry            netip.Addr     `json:"entry"`
	Metrics          netip.AddrPort `json:"metrics"`
	PeerBind         netip.AddrPort `json:"peer-bind"`
	PeerAdvertise    netip.AddrPort `json:"peer-advertise"`
	// PlatformRelay is the address that the fabric relays from this balancer to the platform.
	PlatformRelay netip.AddrPort `json:"platform-relay"`
}

// FabricBalancers adds and removes balancers.
type FabricBalancers struct {
	Add    []FabricBalancer `json:"add,omitempty"`
	Remove []string         `json:"remove,omitempty"`
}

// FabricServices adds and removes services with their addresses.
type FabricServices struct {
	Add    []FabricService `json:"add,omitempty"`
	Remove []string        `json:"remove,omitempty"`
}

// LinkFaults are the faults of one class of links. Loss, Duplicate and Reorder are probabilities.
type LinkFaults struct {
	Loss      float64  `json:"loss,omitempty"`
	Duplicate float64  `json:"duplicate,omitempty"`
	Reorder   float64  `json:"reorder,omitempty"`
	DelayMin  Duration `json:"delay-min,omitempty"`
	DelayMax  Duration `json:"delay-max,omitempty"`
}

// FabricFaults are the faults of the fabric stand-in. Each call replaces all of them.
type FabricFaults struct {
	Caller      LinkFaults `json:"caller"`
	Peer        LinkFaults `json:"peer"`
	Platform    LinkFaults `json:"platform"`
	CutZones    [][2]int   `json:"cut-zones,omitempty"`    // pairs of availability zones whose balancers cannot reach each other
	CutPlatform []int      `json:"cut-platform,omitempty"` // availability zones cut off from the platform
}

// FabricCounters are the counters of the fabric stand-in by name, and the state of each balancer.
type FabricCounters struct {
	Counters      map[string]uint64 `json:"counters"`
	Live          map[string]bool   `json:"live"` // whether each balancer is healthy
	SentDatagrams map[string]uint64 `json:"sent"` // datagrams of callers sent to each balancer
}

// BackendFaults are the faults of a backend server stand-in. Each call replaces all of them.
type BackendFaults struct {
	PauseAnswers      bool                      `json:"pause-answers,omitempty"`
	FakeLoad          string                    `json:"lie,omitempty"` // "idle" or "full": false load reports that hide draining
	LoadLag           Duration                  `json:"load-lag,omitempty"`
	ShedRate          float64                   `json:"shed-rate,omitempty"`
	HealthDown        bool                      `json:"health-down,omitempty"`  // only the health endpoint fails
	CutPrefixes       []netip.Prefix            `json:"cut-prefixes,omitempty"` // peers whose packets are dropped in both directions
	HealthCutPrefixes []netip.Prefix            `json:"health-cut,omitempty"`   // sources whose health checks fail, not other traffic
	Delay             map[netip.Prefix]Duration `json:"delay,omitempty"`
}

// Run is one attempt that a backend server began.
type Run struct {
	CallID     string         `json:"call"`
	AttemptID  uint64         `json:"attempt"`
	Caller     netip.AddrPort `json:"caller"`
	Key        string         `json:"key"`
	StartedAt  time.Time      `json:"began"`
	FinishedAt time.Time      `json:"finished,omitzero"`
	Canceled   bool           `json:"canceled,omitempty"`
}

// Refusal is one attempt that a backend server refused.
type Refusal struct {
	CallID    string    `json:"call"`
	AttemptID uint64    `json:"attempt"`
	Verb      uint8     `json:"verb"`
	Cause     uint8     `json:"cause"`
	At        time.Time `json:"at"`
}

// Feed is one feed that a backend server accepted.
type Feed struct {
	CallID   string         `json:"call"`
	Caller   netip.AddrPort `json:"caller"`
	Topic    string         `json:"topic"`
	After    uint64         `json:"after"` // number of the reading after which it starts
	OpenedAt time.Time      `json:"opened"`
	ClosedAt time.Time      `json:"closed,omitzero"`
	EndCause string         `json:"end,omitempty"` // closed, or silent after the idle timeout
}

// ForeignPacket is a packet whose authority or payload names another service.
type ForeignPacket struct {
	CallID    string         `json:"call"`
	Authority string         `json:"authority"`
	Service   netip.AddrPort `json:"service"`
	Payload   string         `json:"payload"`
	Source    netip.AddrPort `json:"source"`
	Verb      uint8          `json:"verb"`
	At        time.Time      `json:"at"`
}

// Ledger is what one backend server recorded since its start.
type Ledger struct {
	Service           string             `json:"service"`
	Address           netip.AddrPort     `json:"address"`
	Incarnation       uint64             `json:"incarnation"`
	Runs              []Run              `json:"runs"`
	Refusals          []Refusal          `json:"refusals"`
	Feeds             []Feed             `json:"feeds"`
	ForeignRefused    []ForeignPacket    `json:"foreign"`       // refused, as their authority names another service
	ForeignAccepted   []ForeignPacket    `json:"accepted"`      // accepted by their authority, but the payload names another service
	WorkByCallerGroup map[string]int     `json:"work-by-group"` // runs and feeds by caller group (127.3.G.0/24)
	HealthChecks      map[netip.Addr]int `json:"health-checks"` // by source address
	Duplicates        uint64             `json:"duplicates"`    // run packets of attempts that are already known
	Malformed         uint64             `json:"malformed"`
	BusyTime          Duration           `json:"busy-time"` // sum of the time that slots were in use
}

// Drain makes a backend server refuse new work from now on.
type Drain struct{}
