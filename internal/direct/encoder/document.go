package encoder

import (
	"hash/fnv"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

type wireServer struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64
	Service     string
	IP          []byte
	Port        uint16
	Zone        string
	Slots       uint16
	Leaving     bool
	WarmUp      uint32 // ms
	Incarnation int64
}

type wireRoute struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	IP              []byte
	Port            uint16
	Services        []string
	Weights         []uint32
	Timeout, Target uint32 // ms
	Priority        int16
}

type wireConfiguration struct {
	_           struct{} `cbor:",toarray"`
	IdleTimeout uint32   // ms
	Routes      []wireRoute
}

func EncodeBackendList(l *directory.BackendList) ([]byte, error) {
	w := make([]wireServer, len(l.Servers))
	for i := range l.Servers {
		w[i] = serverToWire(&l.Servers[i])
	}
	b, err := cbor.Marshal(w)
	return b, eris.Wrap(err, "encode the backend list")
}

func DecodeBackendList(b []byte) (*directory.BackendList, error) {
	var w []wireServer
	if err := decodeMode.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	l := &directory.BackendList{Servers: make([]directory.BackendServer, len(w))}
	for i := range w {
		s, err := serverFromWire(&w[i])
		if err != nil {
			return nil, err
		}
		l.Servers[i] = s
	}
	return l, nil
}

func EncodeConfiguration(c *directory.Configuration) ([]byte, error) {
	w := wireConfiguration{IdleTimeout: toMilliseconds(c.IdleTimeout)}
	for _, r := range c.Routes {
		route := wireRoute{
			Name: r.Name, IP: r.Address.Addr().AsSlice(), Port: r.Address.Port(), Timeout: toMilliseconds(r.Timeout), Target: toMilliseconds(r.TargetLatency), Priority: int16(r.Priority),
		}
		for _, s := range r.Shares {
			route.Services, route.Weights = append(route.Services, s.Service), append(route.Weights, uint32(s.Weight))
		}
		w.Routes = append(w.Routes, route)
	}
	b, err := cbor.Marshal(w)
	return b, eris.Wrap(err, "encode the configuration")
}

func DecodeConfiguration(b []byte) (*directory.Configuration, error) {
	var w wireConfiguration
	if err := decodeMode.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	c := &directory.Configuration{IdleTimeout: fromMilliseconds(w.IdleTimeout), Routes: make([]directory.Route, len(w.Routes))}
	for i, r := range w.Routes {
		ip, ok := netip.AddrFromSlice(r.IP)
		if !ok || !ip.Is4() || r.Port == 0 || len(r.Services) == 0 || len(r.Services) != len(r.Weights) {
			return nil, ErrMalformed
		}
		route := directory.Route{
			Name: r.Name, Address: netip.AddrPortFrom(ip, r.Port), Timeout: fromMilliseconds(r.Timeout), TargetLatency: fromMilliseconds(r.Target), Priority: int(r.Priority),
		}
		for j := range r.Services {
			route.Shares = append(route.Shares, directory.Share{Service: r.Services[j], Weight: int(min(r.Weights[j], directory.MaxWeight))})
		}
		c.Routes[i] = route
	}
	return c, nil
}

func serverToWire(s *directory.BackendServer) wireServer {
	return wireServer{
		ID: uint64(s.ID), Service: s.Service, IP: s.Address.Addr().AsSlice(), Port: s.Address.Port(), Zone: s.AvailabilityZone,
		Slots: uint16(min(s.Slots, 1<<16-1)), Leaving: s.Leaving, WarmUp: toMilliseconds(s.RemainingWarmUp), Incarnation: s.Incarnation,
	}
}

func serverFromWire(w *wireServer) (directory.BackendServer, error) {
	ip, ok := netip.AddrFromSlice(w.IP)
	if !ok || !ip.Is4() || w.ID == 0 || w.Port == 0 || w.Slots == 0 {
		return directory.BackendServer{}, ErrMalformed
	}
	return directory.BackendServer{
		ID: directory.ServerID(w.ID), Service: w.Service, Address: netip.AddrPortFrom(ip, w.Port), AvailabilityZone: w.Zone,
		Slots: int(w.Slots), Leaving: w.Leaving, RemainingWarmUp: fromMilliseconds(w.WarmUp), Incarnation: w.Incarnation,
	}, nil
}

// DigestConfiguration identifies the content of a configuration apart from its version.
func DigestConfiguration(c *directory.Configuration) uint64 {
	b, err := EncodeConfiguration(c)
	if err != nil {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(b) // hash.Hash documents that it never returns an error
	return h.Sum64()
}
