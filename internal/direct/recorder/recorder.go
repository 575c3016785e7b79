// Package recorder writes a log line for each decision that touches a flow or changes what a daemon believes. Lines of a
// kind have a budget of lines and bytes; beyond it, they are joined into one line with a count. Rare ones are always written.
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

// The messages of lines. services/explainer reads them.
const (
	MessageFlow      = "flow decision"
	MessageJoined    = "lines joined"
	MessageServer    = "backend server"
	MessageRoute     = "route"
	MessageCondition = "condition of a backend server"
)

// The most bytes of lines beside the names in them.
const (
	flowLine   = 440
	beliefLine = 220
)

// view is what a decision was based on.
type view struct {
	configuration uint64 // version
	listing       uint64 // revision of the platform
}

// Ages tell how long ago the beliefs were right.
type Ages struct{ Configuration, Listing time.Duration }

// Config holds what a Recorder is made of.
type Config struct {
	Logger *zap.Logger
	// Budget is the number of lines a second of each kind, and Bytes the size of them; 0 means no bound on the size.
	Budget, Bytes int
}

// Recorder writes decisions. It is not safe for concurrent use.
type Recorder struct {
	c        Config
	ages     func() Ages
	budget   budget
	view     view
	servers  map[directory.ServerID]directory.BackendServer
	routes   map[netip.AddrPort]directory.Route
	prepared bool                        // the first list and routes were written
	judged   map[directory.ServerID]bool // backend servers that this daemon itself wrote to be suspected or silent
}

// OwnFinding names the daemon itself as the one that found something.
const OwnFinding = "self"

// New returns a Recorder.
func New(c Config) *Recorder {
	return &Recorder{
		c: c, budget: budget{lines: c.Budget, bytes: c.Bytes, tallies: map[kind]*tally{}},
		servers: map[directory.ServerID]directory.BackendServer{}, routes: map[netip.AddrPort]directory.Route{},
		judged: map[directory.ServerID]bool{},
	}
}

// OnAges sets what tells the ages of the beliefs. Without it, lines do not tell them.
func (r *Recorder) OnAges(ages func() Ages) { r.ages = ages }

// Decision writes the decision about a packet, unless it only follows an earlier one.
func (r *Recorder) Decision(now time.Time, p *editor.Packet, d *steerer.Decision) {
	if d.Cause == steerer.Established {
		return
	}
	r.Flush(now)
	if !rare(d.Cause) && !r.budget.take(kind{MessageFlow, d.Cause.String()}, flowLine, func() string { return flowName(p) }) {
		return
	}
	fields := [...]zap.Field{
		zap.String("flow", flowName(p)), zap.Stringer("outcome", d.Action), zap.Stringer("cause", d.Cause),
		zap.String("server", ServerName(d.Server)), zap.Uint32("tag", p.Tag), zap.Uint32("sequence", p.SequenceNumber),
		zap.Bool("opening", p.Flags.SYN), zap.Duration("flow-age", d.Age), zap.Float64("load", d.Choice.Load), zap.Int("candidates", d.Choice.Candidates),
		zap.Int("avoided", d.Choice.Avoided), {}, {}, {}, {},
	}
	r.basis(fields[len(fields)-basisFields:])
	r.c.Logger.Info(MessageFlow, fields[:]...)
}

// basisFields is the number of fields that tell what a decision was based on.
const basisFields = 4

// basis sets the fields that tell what a decision was based on, and how old that was.
func (r *Recorder) basis(fields []zap.Field) {
	fields[0], fields[1] = zap.Uint64("configuration", r.view.configuration), zap.Uint64("listing", r.view.listing)
	fields[2], fields[3] = zap.Skip(), zap.Skip()
	if r.ages != nil {
		ages := r.ages()
		fields[2], fields[3] = zap.Duration("configuration-age", ages.Configuration), zap.Duration("listing-age", ages.Listing)
	}
}

// rare reports whether a decision is always written: those that end or move a flow.
func rare(c steerer.Cause) bool {
	switch c {
	case steerer.Moved, steerer.BackendServerGone, steerer.BackendServerSilent:
		return true
	}
	return false
}

// Flush writes the joined lines when the interval is over.
func (r *Recorder) Flush(now time.Time) {
	if r.budget.due(now) {
		r.budget.renew(now, r.c.Logger)
	}
}

// Idle writes the reset of a flow that no packet asked for.
func (r *Recorder) Idle(f *steerer.LostFlow) {
	fields := [...]zap.Field{
		zap.String("flow", flowName(&f.Packet)), zap.Stringer("outcome", steerer.Reset),
		zap.String("cause", "idle-at-lost-backend-server"), zap.String("server", ServerName(f.Server)), zap.Duration("flow-age", f.Age), {}, {}, {}, {},
	}
	r.basis(fields[len(fields)-basisFields:])
	r.c.Logger.Info(MessageFlow, fields[:]...)
}

// Configuration writes the routes that a configuration adds, changes and removes.
func (r *Recorder) Configuration(now time.Time, c *directory.Configuration) {
	r.Flush(now)
	r.view.configuration = c.Version
	routes := make(map[netip.AddrPort]directory.Route, len(c.Routes))
	for _, route := range c.Routes {
		routes[route.Address] = route
		if old, ok := r.routes[route.Address]; !ok && len(r.routes) > 0 {
			r.route("added", &route)
		} else if ok && !slices.Equal(old.Shares, route.Shares) {
			r.route("changed", &route)
		}
	}
	for address, old := range r.routes {
		if _, ok := routes[address]; !ok {
			r.route("gone", &old)
		}
	}
	r.routes = routes
}

func (r *Recorder) route(change string, route *directory.Route) {
	size := beliefLine
	for _, s := range route.Shares {
		size += len(s.Service) + len(" {} 100")
	}
	if !r.budget.take(kind{MessageRoute, change}, size, route.Address.String) {
		return
	}
	r.c.Logger.Info(MessageRoute, zap.String("change", change), zap.Stringer("address", route.Address),
		zap.String("shares", fmt.Sprint(route.Shares)), zap.Uint64("configuration", r.view.configuration))
}

// Listing writes the backend servers that come, leave and go with a list.
func (r *Recorder) Listing(now time.Time, l *directory.Listing) {
	r.Flush(now)
	r.view.listing = l.Revision
	servers := make(map[directory.ServerID]directory.BackendServer, len(l.Servers))
	for _, b := range l.Servers {
		servers[b.ID] = b
		switch old, ok := r.servers[b.ID]; {
		case !ok && r.prepared:
			r.server("listed", &b)
		case ok && old.Incarnation != b.Incarnation:
			r.server("started-again", &b)
		case ok && b.Leaving && !old.Leaving:
			r.server("leaving", &b)
		}
	}
	for id, old := range r.servers {
		if _, ok := servers[id]; !ok {
			r.server("missing", &old)
		}
	}
	if !r.prepared {
		r.c.Logger.Info("first list of backend servers", zap.Int("servers", len(servers)), zap.Uint64("listing", l.Revision))
	}
	r.servers, r.prepared = servers, true
}

func (r *Recorder) server(change string, b *directory.BackendServer) {
	size := beliefLine + len(b.Service) + len(b.AvailabilityZone)
	if !r.budget.take(kind{MessageServer, change}, size, func() string { return ServerName(b.ID) }) {
		return
	}
	r.c.Logger.Info(MessageServer, zap.String("change", change), zap.String("server", ServerName(b.ID)), zap.Stringer("address", b.Address),
		zap.String("service", b.Service), zap.String("availability-zone", b.AvailabilityZone), zap.Uint64("listing", r.view.listing))
}

// Findings writes the conditions of backend servers that have changed, with the evidence of the own ones; from is the peer
// that found them, or OwnFinding. Single flows without an answer are worth no line.
func (r *Recorder) Findings(from string, list []steerer.Finding) {
	for _, f := range list {
		own := from == OwnFinding
		if f.Condition == steerer.Doubted || own && f.Condition == steerer.Answering && !r.judged[f.Server] {
			continue
		}
		if own {
			if f.Condition == steerer.Answering {
				delete(r.judged, f.Server)
			} else {
				r.judged[f.Server] = true
			}
		}
		r.c.Logger.Info(MessageCondition, zap.String("server", ServerName(f.Server)), zap.Stringer("condition", f.Condition),
			zap.String("found-by", from), zap.Int("repeating-flows", f.Evidence.Repeating),
			zap.Int("unanswered-openings", f.Evidence.Unanswered), zap.Int("abandoned-requests", f.Evidence.Abandoned),
			zap.Duration("repeating-for", f.Evidence.For))
	}
}

// ServerName returns the name of a backend server in logs, "" for none.
func ServerName(id directory.ServerID) string {
	if id == 0 {
		return ""
	}
	return fmt.Sprintf("%x", uint64(id))
}

func flowName(p *editor.Packet) string { return p.Source.String() + ">" + p.Destination.String() }
