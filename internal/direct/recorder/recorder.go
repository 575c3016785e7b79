// Package recorder writes a log line for each decision that touches a flow or changes what a daemon believes. Common
// decisions have a budget of lines; beyond it, those of equal outcome are joined into one line with a count. Rare ones are
// always written.
package recorder

import (
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// joinInterval is how often joined decisions are written.
const joinInterval = time.Second

// The messages of lines. services/explainer reads them.
const (
	MessageFlow      = "flow decision"
	MessageJoined    = "flow decisions joined"
	MessageServer    = "backend server"
	MessageRoute     = "route"
	MessageCondition = "condition of a backend server"
)

// View is what a decision was based on.
type View struct {
	Configuration uint64 // version
	Listing       uint64 // revision of the platform
}

// Config holds what a Recorder is made of.
type Config struct {
	Logger *zap.Logger
	// Budget is the number of lines a second for each outcome of a common decision.
	Budget int
}

// Recorder writes decisions. It is not safe for concurrent use.
type Recorder struct {
	c        Config
	counts   map[steerer.Cause]*tally
	written  time.Time
	view     View
	servers  map[directory.ServerID]directory.BackendServer
	routes   map[netip.AddrPort]directory.Route
	prepared bool // the first list and routes were written
}

// tally is the lines of one outcome in the current second.
type tally struct {
	lines, joined int
	last          string // flow of the newest joined decision
}

// New returns a Recorder.
func New(c Config) *Recorder {
	return &Recorder{
		c: c, counts: map[steerer.Cause]*tally{}, servers: map[directory.ServerID]directory.BackendServer{}, routes: map[netip.AddrPort]directory.Route{},
	}
}

// Decision writes the decision about a packet, unless it only follows an earlier one.
func (r *Recorder) Decision(now time.Time, p *editor.Packet, d *steerer.Decision) {
	if d.Cause == steerer.Established {
		return
	}
	if now.Sub(r.written) >= joinInterval {
		r.flush(now)
	}
	t := r.counts[d.Cause]
	if t == nil {
		t = &tally{}
		r.counts[d.Cause] = t
	}
	if t.lines >= r.c.Budget && !rare(d.Cause) {
		t.joined++
		t.last = flowName(p)
		return
	}
	t.lines++
	r.c.Logger.Info(MessageFlow, zap.String("flow", flowName(p)), zap.Stringer("outcome", d.Action), zap.Stringer("cause", d.Cause),
		zap.String("server", ServerName(d.Server)), zap.Uint32("tag", p.Tag), zap.Uint32("sequence", p.Sequence),
		zap.Bool("opening", p.Flags.SYN), zap.Uint64("configuration", r.view.Configuration), zap.Uint64("listing", r.view.Listing))
}

// rare reports whether a decision is always written: those that end or move a flow.
func rare(c steerer.Cause) bool {
	switch c {
	case steerer.Moved, steerer.BackendServerGone, steerer.BackendServerSilent:
		return true
	}
	return false
}

// flush writes the joined decisions of the last interval.
func (r *Recorder) flush(now time.Time) {
	for cause, t := range r.counts {
		if t.joined > 0 {
			r.c.Logger.Info(MessageJoined, zap.Stringer("cause", cause), zap.Int("count", t.joined), zap.String("last-flow", t.last))
		}
		*t = tally{}
	}
	r.written = now
}

// Idle writes the reset of a flow that no packet asked for.
func (r *Recorder) Idle(f *steerer.LostFlow) {
	r.c.Logger.Info(MessageFlow, zap.String("flow", flowName(&f.Packet)), zap.Stringer("outcome", steerer.Reset),
		zap.String("cause", "idle-at-lost-backend-server"), zap.String("server", ServerName(f.Server)),
		zap.Uint64("configuration", r.view.Configuration), zap.Uint64("listing", r.view.Listing))
}

// Configuration writes the routes that a configuration adds and removes.
func (r *Recorder) Configuration(c *directory.Configuration) {
	r.view.Configuration = c.Version
	routes := make(map[netip.AddrPort]directory.Route, len(c.Routes))
	for _, route := range c.Routes {
		routes[route.Address] = route
		if old, ok := r.routes[route.Address]; !ok && len(r.routes) > 0 {
			r.route("added", c.Version, &route)
		} else if ok && fmt.Sprint(old.Shares) != fmt.Sprint(route.Shares) {
			r.route("changed", c.Version, &route)
		}
	}
	for address, old := range r.routes {
		if _, ok := routes[address]; !ok {
			r.route("gone", c.Version, &old)
		}
	}
	r.routes = routes
}

func (r *Recorder) route(change string, version uint64, route *directory.Route) {
	r.c.Logger.Info(MessageRoute, zap.String("change", change), zap.Stringer("address", route.Address), zap.String("shares", fmt.Sprint(route.Shares)),
		zap.Uint64("configuration", version))
}

// Listing writes the backend servers that come, leave and go with a list.
func (r *Recorder) Listing(l *directory.Listing) {
	r.view.Listing = l.Revision
	servers := make(map[directory.ServerID]directory.BackendServer, len(l.Servers))
	for _, b := range l.Servers {
		servers[b.ID] = b
		switch old, ok := r.servers[b.ID]; {
		case !ok && r.prepared:
			r.server("listed", l.Revision, &b)
		case ok && old.Incarnation != b.Incarnation:
			r.server("started-again", l.Revision, &b)
		case ok && b.Leaving && !old.Leaving:
			r.server("leaving", l.Revision, &b)
		}
	}
	for id, old := range r.servers {
		if _, ok := servers[id]; !ok {
			r.server("missing", l.Revision, &old)
		}
	}
	if !r.prepared {
		r.c.Logger.Info("first list of backend servers", zap.Int("servers", len(servers)), zap.Uint64("listing", l.Revision))
	}
	r.servers, r.prepared = servers, true
}

func (r *Recorder) server(change string, revision uint64, b *directory.BackendServer) {
	r.c.Logger.Info(MessageServer, zap.String("change", change), zap.String("server", ServerName(b.ID)), zap.Stringer("address", b.Address),
		zap.String("service", b.Service), zap.String("availability-zone", b.AvailabilityZone), zap.Uint64("listing", revision))
}

// Findings writes the conditions of backend servers that have changed; from is the peer that found them, or "self".
func (r *Recorder) Findings(from string, list []steerer.Finding) {
	for _, f := range list {
		r.c.Logger.Info(MessageCondition, zap.String("server", ServerName(f.Server)), zap.Stringer("condition", f.Condition), zap.String("found-by", from))
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
