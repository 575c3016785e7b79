// Package summarizer answers the queries of operators to a daemon that forwards with direct server return: what it knows, how old that is,
// where it came from, and what it decides by it.
package summarizer

import (
	"sync/atomic"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/follower"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/transporter"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

// Views provides the views of the platform's content.
type Views interface {
	Views() []follower.ViewStatus
	EvacuatedZones() []string
}

// Traffic provides the state of backend servers and of admission control.
type Traffic interface{ Status() transporter.Status }

// Members provides the other daemons.
type Members interface{ Members() []packer.Member }

// Config holds the sources of a Summarizer.
type Config struct {
	Name             string
	AvailabilityZone string
	Incarnation      uint64
	Views            Views
	Traffic          Traffic
	Members          Members
	Audit            *auditor.Auditor
}

// Summarizer implements the sources of operator.Server. It is safe for concurrent use.
type Summarizer struct {
	*auditor.Auditor
	c     Config
	state atomic.Value // operator.State
}

// New returns a Summarizer of a daemon that is starting.
func New(c Config) *Summarizer {
	s := &Summarizer{Auditor: c.Audit, c: c}
	s.state.Store(operator.Starting)
	return s
}

// SetState sets the lifecycle state of the daemon.
func (s *Summarizer) SetState(state operator.State) { s.state.Store(state) }

// Status implements operator.StatusSource.
func (s *Summarizer) Status() operator.Status {
	out := operator.Status{
		Name: s.c.Name, AvailabilityZone: s.c.AvailabilityZone, Incarnation: s.c.Incarnation, State: s.state.Load().(operator.State),
		EvacuatedPlaces: s.c.Views.EvacuatedZones(),
	}
	for _, v := range s.c.Views.Views() {
		out.Views = append(out.Views, operator.View{
			Name: v.Name, Era: v.Position.Era, Revision: v.Position.Revision, Version: v.Version, Age: v.Age, Source: v.Source, IsReader: v.IsReader,
		})
	}
	for _, m := range s.c.Members.Members() {
		out.Peers = append(out.Peers, operator.Peer{Address: m.Address, AvailabilityZone: m.AvailabilityZone, State: m.State.String()})
	}
	t := s.c.Traffic.Status()
	out.EndedFlows = t.EndedFlows
	for _, b := range t.Servers {
		out.BackendServers = append(out.BackendServers, operator.BackendServer{
			Address: b.Address, Service: b.Service, AvailabilityZone: b.AvailabilityZone, State: b.State, Incarnation: uint64(b.Incarnation),
			InFlight: b.InProgress, OpenFeeds: b.OpenFlows,
		})
	}
	out.Imbalance = imbalance(out.BackendServers)
	for _, a := range t.Admission {
		out.Admission = append(out.Admission, operator.Admission{
			Service: a.Service, Overloaded: a.Overloaded, Signal: a.Signal, Delay: a.Delay, Level: a.Level, Waiting: a.Waiting,
		})
	}
	return out
}

// imbalance returns the largest ratio of the open flows at a live backend server to the mean of its service.
func imbalance(servers []operator.BackendServer) float64 {
	type total struct{ servers, flows, most int }
	services := map[string]total{}
	for i := range servers {
		b := &servers[i]
		if b.State != "live" {
			continue
		}
		t := services[b.Service]
		services[b.Service] = total{t.servers + 1, t.flows + b.OpenFeeds, max(t.most, b.OpenFeeds)}
	}
	result := 1.0
	for _, t := range services {
		if t.flows > 0 {
			result = max(result, float64(t.most)*float64(t.servers)/float64(t.flows))
		}
	}
	return result
}
