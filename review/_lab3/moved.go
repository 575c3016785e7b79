package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// configurationSlack is revertSlackMs of the pages.
const configurationSlack = 250 * time.Millisecond

// movedRoute is the route whose service the operator changes.
var movedRoute = netip.MustParseAddrPort("198.18.0.1:8443")

// version is a version of the desired state.
type version struct {
	number  uint64
	service string // to which the route leads
	acked   time.Time
	seen    map[netip.AddrPort]time.Time // by daemon: when a host first saw the effect
}

// judge follows which opening packet a host takes, through which daemon, and when the requester sent it.
type judge struct {
	*recorder
	mu       sync.Mutex
	sentAt   map[string]time.Time
	versions []*version
	names    map[netip.AddrPort]string // of the daemons, by the address of their datagrams
	broken   int
	copies   [3]int // opening packets that hosts have taken: the first one, its first and its second copy
}

// opening is an opening packet that a host has taken.
type opening struct {
	j      *judge
	h      *host
	daemon netip.AddrPort
	port   uint16
	copies uint32
	sentAt time.Time
}

func openingKey(p *editor.Packet) string { return fmt.Sprint(p.Source, p.AckNumber) }

func (j *judge) sent(p *editor.Packet) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sentAt[openingKey(p)] = time.Now()
}

func (j *judge) taken(h *host, p *editor.Packet, from netip.AddrPort) *opening {
	j.mu.Lock()
	defer j.mu.Unlock()
	newest := j.versions[len(j.versions)-1]
	if h.entry.Service == newest.service && newest.seen[from].IsZero() {
		newest.seen[from] = time.Now()
	}
	j.copies[min(p.AckNumber, 2)]++
	return &opening{j, h, from, p.Source.Port(), p.AckNumber, j.sentAt[openingKey(p)]}
}

// run is called when the host begins to work on the first request of the flow.
func (o *opening) run() {
	j := o.j
	j.mu.Lock()
	defer j.mu.Unlock()
	newest := j.versions[len(j.versions)-1]
	seen := newest.seen[o.daemon]
	if o.h.entry.Service == newest.service || seen.IsZero() || o.sentAt.Sub(seen) <= configurationSlack {
		return
	}
	j.broken++
	j.log("broken: version %d leads the route to %s since %.3f s, and a host has seen it through %s at %.3f s; an opening packet (copy %d) from port %d, sent at %.3f s, %d ms later, was given to %s by %s through the same machine, and its request was run there",
		newest.number, newest.service, newest.acked.Sub(j.started).Seconds(), j.names[o.daemon], seen.Sub(j.started).Seconds(), o.copies, o.port,
		o.sentAt.Sub(j.started).Seconds(), o.sentAt.Sub(seen).Milliseconds(), o.h.entry.Service, j.names[o.daemon])
}

// publish writes a desired state that leads the route to the service.
func (j *judge) publish(s *system, service string) error {
	type object = map[string]any
	s.version += 3
	services := []object{}
	for _, name := range []string{"ovenwatch", "recipecard"} {
		services = append(services, object{"name": name, "healthCheck": "/health", "maxConnections": maxFlows, "protocol": "h1", "tls": false})
	}
	value, err := cbor.Marshal(object{
		"version": s.version,
		"routes": []object{{"name": "r-1", "hostname": movedRoute.Addr().String(), "prefix": fmt.Sprintf("/%d/", movedRoute.Port()), "type": "safe",
			"timeoutMs": 2000, "targetLatencyMs": 150, "priority": 2, "service": service, "maxAttempts": 2}},
		"services": services,
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	j.mu.Lock()
	s.store.PutConfiguration(value)
	j.versions = append(j.versions, &version{s.version, service, time.Now(), map[netip.AddrPort]time.Time{}})
	j.mu.Unlock()
	s.log("operator writes version %d: the route leads to %s", s.version, service)
	return nil
}

// Figures of the deployment and of the disruption.
const (
	hostsPerService = 7
	maxFlows        = 10 // that a host holds
	daemonCount     = 3
	usualUsers      = 50
	burstUsers      = 30 // 1.6 times the usual ones
	burstTime       = 3 * time.Second
	changeAfter     = 2 * time.Second // the begin of a burst
	changeInterval  = 8 * time.Second
	changes         = 12
	requestWork     = 20 * time.Millisecond
	requestPause    = 400 * time.Millisecond
	requestsPerFlow = 5
)

// runMoved changes the service of a route while more users come than the hosts have room for.
func runMoved(folder string, trouble bool) (int, error) {
	s, err := newSystem(folder, []string{"souillac"})
	if err != nil {
		return failed, err
	}
	defer s.stop()
	j := &judge{recorder: s.recorder, sentAt: map[string]time.Time{}, names: map[netip.AddrPort]string{}}
	services := []string{"ovenwatch", "recipecard"}
	var hosts []*host
	for _, service := range services {
		for range hostsPerService {
			h, err := s.addQueueingHost(service, 0, requestWork)
			if err != nil {
				return failed, err
			}
			h.mu.Lock()
			h.max, h.taken = maxFlows, j.taken
			h.mu.Unlock()
			hosts = append(hosts, h)
		}
	}
	for number := range daemonCount {
		if err := s.addDaemon(0, number); err != nil {
			return failed, err
		}
		d := s.daemons[number]
		j.names[d.target.Entry] = d.name
	}
	if err := j.publish(s, services[0]); err != nil {
		return failed, err
	}
	if err := s.start(); err != nil {
		return failed, err
	}
	var groups []*requesters
	users := func(number, n int, leave time.Time) error {
		r, err := newRequesters(s, 0, number, movedRoute, 900, requestPause)
		if err != nil {
			return err
		}
		r.perFlow, r.leave, r.sent = requestsPerFlow, leave, j.sent
		groups = append(groups, r)
		s.wait.Go(func() { r.run(s.ctx, n) })
		return nil
	}
	if err := users(0, usualUsers, time.Time{}); err != nil {
		return failed, err
	}
	sleep(s.ctx, 6*time.Second) // all machines are in touch
	for n := range changes {
		if trouble {
			s.log("burst of %s: %d users more", burstTime, burstUsers)
			if err := users(1+n, burstUsers, time.Now().Add(burstTime)); err != nil {
				return failed, err
			}
		}
		sleep(s.ctx, changeAfter)
		if err := j.publish(s, services[(n+1)%2]); err != nil {
			return failed, err
		}
		sleep(s.ctx, changeInterval-changeAfter)
		ran, ignored := 0, 0
		for _, h := range hosts {
			h.mu.Lock()
			ran, ignored = ran+h.ran, ignored+h.ignored
			h.mu.Unlock()
		}
		sent, answered := uint64(0), 0
		for _, r := range groups {
			r.mu.Lock()
			sent, answered = sent+r.requests, answered+r.answered
			r.mu.Unlock()
		}
		j.mu.Lock()
		s.log("so far: requests sent %d, answered %d, run %d; opening packets taken: %d, first copies %d, second copies %d; ignored by full hosts %d; broken %d", sent, answered, ran, j.copies[0], j.copies[1], j.copies[2], ignored, j.broken)
		j.mu.Unlock()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.broken > 0 {
		s.log("broken %d times", j.broken)
		return broken, nil
	}
	s.log("held")
	return held, nil
}
