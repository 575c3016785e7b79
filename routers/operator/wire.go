package operator

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

// The wire structs are the JSON form of queries and replies. Status and audit with --output json print the same form.
type wireStatus struct {
	Name             string              `json:"name"`
	AvailabilityZone string              `json:"availability-zone"`
	Incarnation      uint64              `json:"incarnation"`
	State            string              `json:"state"`
	SettingsRevision uint64              `json:"settings-revision"`
	VMsRevision      uint64              `json:"vms-revision"`
	Documents        []wireDocument      `json:"documents"`
	EvacuatedPlaces  []string            `json:"evacuated-places"`
	Peers            []wirePeer          `json:"peers"`
	BackendServers   []wireBackendServer `json:"backend-servers"`
	EndedFlows       uint64              `json:"ended-flows"`
	Imbalance        float64             `json:"imbalance"`
	Counters         map[string]uint64   `json:"counters"`
	Views            []wireView          `json:"views,omitempty"`
	Admission        []wireAdmission     `json:"admission,omitempty"`
}

type wireView struct {
	Name     string `json:"name"`
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
	Age      string `json:"age"`
	Source   string `json:"source"`
	IsReader bool   `json:"reader"`
}

type wireAdmission struct {
	Service    string  `json:"service"`
	Overloaded bool    `json:"overloaded"`
	Signal     float64 `json:"signal"`
	Delay      string  `json:"delay"`
	Level      float64 `json:"level"`
	Waiting    int     `json:"waiting"`
}

type wireDocument struct {
	Name         string `json:"name"`
	Revision     uint64 `json:"revision"`
	HeldRevision uint64 `json:"held"`
}

type wirePeer struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	State            string `json:"state"`
}

type wireBackendServer struct {
	Address          string `json:"address"`
	Service          string `json:"service"`
	AvailabilityZone string `json:"availability-zone"`
	State            string `json:"state"`
	Incarnation      uint64 `json:"incarnation"`
	InFlight         int    `json:"in-flight"`
	OpenFeeds        int    `json:"open-feeds"`
	Ejected          bool   `json:"ejected"`
}

type wireAuditQuery struct {
	Newest int `json:"newest"`
}

type wireEntry struct {
	Time     string `json:"time"`
	Document string `json:"document"`
	Revision uint64 `json:"revision"`
	Source   string `json:"source"`
	Outcome  string `json:"outcome"`
	Cause    string `json:"cause,omitempty"`
}

// EncodeStatus returns the JSON form of a status.
func EncodeStatus(s Status) ([]byte, error) {
	b, err := json.MarshalIndent(statusToWire(s), "", "  ")
	return b, eris.Wrap(err, "encode the status")
}

// EncodeAudit returns the JSON form of audit entries.
func EncodeAudit(entries []auditor.Entry) ([]byte, error) {
	b, err := json.MarshalIndent(entriesToWire(entries), "", "  ")
	return b, eris.Wrap(err, "encode the audit entries")
}

func statusToWire(s Status) wireStatus {
	w := wireStatus{
		Name:             s.Name,
		AvailabilityZone: s.AvailabilityZone,
		Incarnation:      s.Incarnation,
		State:            string(s.State),
		SettingsRevision: s.SettingsRevision,
		VMsRevision:      s.VMsRevision,
		Documents:        make([]wireDocument, 0, len(s.Documents)),
		EvacuatedPlaces:  append([]string{}, s.EvacuatedPlaces...),
		Peers:            make([]wirePeer, 0, len(s.Peers)),
		BackendServers:   make([]wireBackendServer, 0, len(s.BackendServers)),
		EndedFlows:       s.EndedFlows,
		Imbalance:        s.Imbalance,
		Counters:         s.Counters,
	}
	if w.Counters == nil {
		w.Counters = map[string]uint64{}
	}
	for _, d := range s.Documents {
		w.Documents = append(w.Documents, wireDocument(d))
	}
	for _, p := range s.Peers {
		w.Peers = append(w.Peers, wirePeer{p.Address.String(), p.AvailabilityZone, p.State})
	}
	for _, b := range s.BackendServers {
		w.BackendServers = append(w.BackendServers, wireBackendServer{
			Address: b.Address.String(), Service: b.Service, AvailabilityZone: b.AvailabilityZone, State: b.State,
			Incarnation: b.Incarnation, InFlight: b.InFlight, OpenFeeds: b.OpenFeeds, Ejected: b.Ejected,
		})
	}
	for _, v := range s.Views {
		w.Views = append(w.Views, wireView{v.Name, v.Era, v.Revision, v.Version, v.Age.String(), v.Source, v.IsReader})
	}
	for _, a := range s.Admission {
		w.Admission = append(w.Admission, wireAdmission{a.Service, a.Overloaded, a.Signal, a.Delay.String(), a.Level, a.Waiting})
	}
	return w
}

func statusFromWire(w wireStatus) (Status, error) {
	s := Status{
		Name:             w.Name,
		AvailabilityZone: w.AvailabilityZone,
		Incarnation:      w.Incarnation,
		State:            State(w.State),
		SettingsRevision: w.SettingsRevision,
		VMsRevision:      w.VMsRevision,
		EvacuatedPlaces:  w.EvacuatedPlaces,
		EndedFlows:       w.EndedFlows,
		Imbalance:        w.Imbalance,
		Counters:         w.Counters,
	}
	for _, d := range w.Documents {
		s.Documents = append(s.Documents, Document(d))
	}
	for _, p := range w.Peers {
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			return Status{}, eris.Wrap(ErrInvalidReply, "parse the address of a peer")
		}
		s.Peers = append(s.Peers, Peer{address, p.AvailabilityZone, p.State})
	}
	for _, b := range w.BackendServers {
		address, err := netip.ParseAddrPort(b.Address)
		if err != nil {
			return Status{}, eris.Wrap(ErrInvalidReply, "parse the address of a backend server")
		}
		s.BackendServers = append(s.BackendServers, BackendServer{
			Address: address, Service: b.Service, AvailabilityZone: b.AvailabilityZone, State: b.State,
			Incarnation: b.Incarnation, InFlight: b.InFlight, OpenFeeds: b.OpenFeeds, Ejected: b.Ejected,
		})
	}
	for _, v := range w.Views {
		age, err := time.ParseDuration(v.Age)
		if err != nil {
			return Status{}, eris.Wrap(ErrInvalidReply, "parse the age of a view")
		}
		s.Views = append(s.Views, View{v.Name, v.Era, v.Revision, v.Version, age, v.Source, v.IsReader})
	}
	for _, a := range w.Admission {
		delay, err := time.ParseDuration(a.Delay)
		if err != nil {
			return Status{}, eris.Wrap(ErrInvalidReply, "parse the delay of a service")
		}
		s.Admission = append(s.Admission, Admission{a.Service, a.Overloaded, a.Signal, delay, a.Level, a.Waiting})
	}
	return s, nil
}

func entriesToWire(entries []auditor.Entry) []wireEntry {
	w := make([]wireEntry, 0, len(entries))
	for _, e := range entries {
		w = append(w, wireEntry{
			Time: e.Time.UTC().Format(time.RFC3339Nano), Document: e.Document, Revision: e.Revision, Source: e.Source,
			Outcome: e.Outcome.String(), Cause: e.Cause,
		})
	}
	return w
}

func entriesFromWire(w []wireEntry) ([]auditor.Entry, error) {
	entries := make([]auditor.Entry, 0, len(w))
	for _, e := range w {
		t, err := time.Parse(time.RFC3339Nano, e.Time)
		if err != nil {
			return nil, eris.Wrap(ErrInvalidReply, "parse the time of an audit entry")
		}
		outcome := auditor.Refused
		for _, o := range []auditor.Outcome{auditor.Applied, auditor.Waiting, auditor.LeftOut} {
			if e.Outcome == o.String() {
				outcome = o
			}
		}
		entries = append(entries, auditor.Entry{
			Time: t, Document: e.Document, Revision: e.Revision, Source: e.Source, Outcome: outcome, Cause: e.Cause,
		})
	}
	return entries, nil
}
