// Package recorder writes a log line for each decision about a packet, except for packets that only follow their established flow, and
// for each change of a daemon's view (its routes, backend servers and health findings). Each kind of line has a budget of lines and bytes
// per second; lines over the budget are aggregated into one line with a count. Rare kinds, such as that of a moved flow, are always
// written.
package recorder

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// Log messages. services/explainer matches them.
const (
	MessageFlow       = "flow decision"
	MessageAggregated = "lines joined"
	MessageServer     = "backend server"
	MessageRoute      = "route"
	MessageCondition  = "condition of a backend server"
)

// Upper bounds on the bytes of a log line. changeLineSize excludes the names of the service, the availability zone and the
// shares.
const (
	flowLineSize   = 440
	excludedSize   = 40 // of the counts of evacuated and cold backend servers, which most lines lack
	changeLineSize = 220
)

// viewVersions identifies the view on which a decision was based.
type viewVersions struct {
	configuration uint64 // version of the configuration
	backendList   uint64 // platform revision of the backend list
}

// ViewAges holds the time since the configuration and the backend list were last confirmed to be current.
type ViewAges struct{ Configuration, BackendList time.Duration }

// Config holds the dependencies and limits of a Recorder.
type Config struct {
	Logger *zap.Logger
	// LinesPerSecond and BytesPerSecond limit the log lines of each kind. A BytesPerSecond of 0 means no limit on the size.
	LinesPerSecond, BytesPerSecond int
	// Audit records changes of the state of admission control. Nil records nothing.
	Audit AuditTrail
}

// Recorder logs decisions about packets and changes of the view. It is not safe for concurrent use.
type Recorder struct {
	c           Config
	ages        func() ViewAges
	budget      budget
	view        viewVersions
	servers     map[directory.ServerID]directory.BackendServer
	routes      map[netip.AddrPort]directory.Route
	initialized bool                        // the first backend list was logged
	overloaded  map[string]bool             // services that were last logged as overloaded
	sharedTags  []directory.ServerID        // that were last logged
	ownSuspects map[directory.ServerID]bool // backend servers that this daemon itself last reported as suspected or silent
}

// FoundBySelf marks findings of this daemon, as opposed to those of a peer.
const FoundBySelf = "self"

// New returns a Recorder that knows no routes and no backend servers.
func New(c Config) *Recorder {
	return &Recorder{
		c: c, budget: budget{maxLines: c.LinesPerSecond, maxBytes: c.BytesPerSecond, usages: map[kind]*usage{}},
		servers: map[directory.ServerID]directory.BackendServer{}, routes: map[netip.AddrPort]directory.Route{},
		ownSuspects: map[directory.ServerID]bool{}, overloaded: map[string]bool{},
	}
}

// SetViewAges sets the function that returns the ages of the view. Without one, log lines omit the ages.
func (r *Recorder) SetViewAges(ages func() ViewAges) { r.ages = ages }

// LogDecision logs the decision about a packet. Packets of established flows and retransmissions of held packets are not logged.
func (r *Recorder) LogDecision(now time.Time, p *editor.Packet, d *steerer.Decision) {
	if d.Cause == steerer.Established || d.Cause == steerer.HeldRetransmission {
		return
	}
	r.Flush(now)
	size, excluded := flowLineSize, d.Placement.Evacuated+d.Placement.Cold > 0
	if excluded {
		size += excludedSize
	}
	if !alwaysLogged(d.Cause) && !r.budget.allow(kind{MessageFlow, d.Cause.String()}, size, func() string { return flowName(p) }) {
		return
	}
	fields := [...]zap.Field{
		zap.String("flow", flowName(p)), zap.Stringer("outcome", d.Action), zap.Stringer("cause", d.Cause),
		zap.String("server", ServerName(d.Server)), zap.Uint32("tag", p.Tag), zap.Uint32("sequence", p.SequenceNumber),
		zap.Bool("opening", p.Flags.SYN), zap.Duration("flow-age", d.Age), zap.Float64("load", d.Placement.Load), zap.Int("candidates", d.Placement.Candidates),
		zap.Int("avoided", d.Placement.Suspects), zap.Skip(), zap.Skip(), {}, {}, {}, {},
	}
	if excluded {
		fields[len(fields)-viewFieldCount-2] = zap.Int("evacuated", d.Placement.Evacuated)
		fields[len(fields)-viewFieldCount-1] = zap.Int("cold", d.Placement.Cold)
	}
	r.setViewFields(fields[len(fields)-viewFieldCount:])
	r.c.Logger.Info(MessageFlow, fields[:]...)
}

// viewFieldCount is the number of log fields that setViewFields sets.
const viewFieldCount = 4

// setViewFields sets the log fields with the versions and ages of the view on which a decision was based.
func (r *Recorder) setViewFields(fields []zap.Field) {
	fields[0], fields[1] = zap.Uint64("configuration", r.view.configuration), zap.Uint64("listing", r.view.backendList)
	fields[2], fields[3] = zap.Skip(), zap.Skip()
	if r.ages != nil {
		ages := r.ages()
		fields[2], fields[3] = zap.Duration("configuration-age", ages.Configuration), zap.Duration("listing-age", ages.BackendList)
	}
}

// alwaysLogged reports whether decisions with the cause are logged regardless of the budget: the rare ones that move or
// end a flow.
func alwaysLogged(c steerer.Cause) bool {
	switch c {
	case steerer.Moved, steerer.BackendServerRemoved, steerer.BackendServerSilent:
		return true
	}
	return false
}

// Flush writes the aggregated lines if the interval of the budget is over.
func (r *Recorder) Flush(now time.Time) {
	if r.budget.intervalOver(now) {
		r.budget.startInterval(now, r.c.Logger)
	}
}

// LogConfigurationChanges logs the routes that a new configuration adds, changes or removes. Routes of the first one are not logged.
func (r *Recorder) LogConfigurationChanges(now time.Time, c *directory.Configuration) {
	r.Flush(now)
	r.view.configuration = c.Version
	routes := make(map[netip.AddrPort]directory.Route, len(c.Routes))
	for _, route := range c.Routes {
		routes[route.Address] = route
		if old, ok := r.routes[route.Address]; !ok && len(r.routes) > 0 {
			r.logRouteChange("added", &route)
		} else if ok && !slices.Equal(old.Shares, route.Shares) {
			r.logRouteChange("changed", &route)
		}
	}
	for address, old := range r.routes {
		if _, ok := routes[address]; !ok {
			r.logRouteChange("gone", &old)
		}
	}
	r.routes = routes
}

func (r *Recorder) logRouteChange(change string, route *directory.Route) {
	size := changeLineSize
	for _, s := range route.Shares {
		size += len(s.Service) + len(" {} 100")
	}
	if !r.budget.allow(kind{MessageRoute, change}, size, route.Address.String) {
		return
	}
	r.c.Logger.Info(MessageRoute, zap.String("change", change), zap.Stringer("address", route.Address),
		zap.String("shares", fmt.Sprint(route.Shares)), zap.Uint64("configuration", r.view.configuration))
}

// LogBackendListChanges logs the backend servers that a new backend list adds, shows as leaving or restarted, or no longer has. Of the
// first list only the size is logged.
func (r *Recorder) LogBackendListChanges(now time.Time, l *directory.BackendList) {
	r.Flush(now)
	r.view.backendList = l.Revision
	servers := make(map[directory.ServerID]directory.BackendServer, len(l.Servers))
	for _, b := range l.Servers {
		servers[b.ID] = b
		switch old, ok := r.servers[b.ID]; {
		case !ok && r.initialized:
			r.logServerChange("listed", &b)
		case ok && old.Incarnation != b.Incarnation:
			r.logServerChange("started-again", &b)
		case ok && b.Leaving && !old.Leaving:
			r.logServerChange("leaving", &b)
		}
	}
	for id, old := range r.servers {
		if _, ok := servers[id]; !ok {
			r.logServerChange("missing", &old)
		}
	}
	if !r.initialized {
		r.c.Logger.Info("first backend list received", zap.Int("servers", len(servers)), zap.Uint64("listing", l.Revision))
	}
	r.servers, r.initialized = servers, true
}

func (r *Recorder) logServerChange(change string, b *directory.BackendServer) {
	size := changeLineSize + len(b.Service) + len(b.AvailabilityZone)
	if !r.budget.allow(kind{MessageServer, change}, size, func() string { return ServerName(b.ID) }) {
		return
	}
	r.c.Logger.Info(MessageServer, zap.String("change", change), zap.String("server", ServerName(b.ID)), zap.Stringer("address", b.Address),
		zap.String("service", b.Service), zap.String("availability-zone", b.AvailabilityZone), zap.Uint64("listing", r.view.backendList))
}

// LogFindings logs health findings, with the evidence of those of this daemon. foundBy is FoundBySelf, or "peer" for those received
// from a peer. Evidence that is not conclusive alone is not logged, nor is the recovery of a backend server against which this daemon
// has logged nothing.
func (r *Recorder) LogFindings(foundBy string, list []steerer.Finding) {
	for _, f := range list {
		own := foundBy == FoundBySelf
		if f.Condition == steerer.Inconclusive || own && f.Condition == steerer.Answering && !r.ownSuspects[f.Server] {
			continue
		}
		if own {
			if f.Condition == steerer.Answering {
				delete(r.ownSuspects, f.Server)
			} else {
				r.ownSuspects[f.Server] = true
			}
		}
		r.c.Logger.Info(MessageCondition, zap.String("server", ServerName(f.Server)), zap.Stringer("condition", f.Condition),
			zap.String("found-by", foundBy), zap.Int("repeating-flows", f.Evidence.RetransmittingFlows),
			zap.Int("unanswered-openings", f.Evidence.UnansweredOpenings), zap.Int("abandoned-requests", f.Evidence.AbandonedRequests),
			zap.Duration("repeating-for", f.Evidence.Duration))
	}
}

// ServerName returns the name of a backend server in logs and metrics: its id in hexadecimal digits, or "" for the zero id.
func ServerName(id directory.ServerID) string {
	if id == 0 {
		return ""
	}
	return fmt.Sprintf("%x", uint64(id))
}

// flowName returns the name of the packet's flow in logs: source and destination.
func flowName(p *editor.Packet) string { return p.Source.String() + ">" + p.Destination.String() }
