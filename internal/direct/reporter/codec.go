package reporter

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// The kinds of messages. They share the outer form and the numbering with the messages of package follower, whose kinds are below 40.
const (
	kindReport  = 40 // findings of one daemon, for aggregators
	kindFinding = 41 // findings of an aggregator, for the zone
	kindOutcome = 42 // outcome of a probe, for aggregators
	// Kinds 43 to 45 are messages of earlier versions about idle flows.
)

const (
	// maxMessageBytes limits a message so that it fits the datagram of a peer and the packets of common links.
	maxMessageBytes = 1300
	// findingBytes and addressBytes are the most that a finding and an address of a relay target take.
	findingBytes = 28
	addressBytes = 8
)

// errMalformed is returned for a message that this version cannot decode.
var errMalformed = eris.New("health findings of a peer are malformed: check that all daemons run compatible versions")

// The types below are the CBOR encoding. They are encoded as arrays, so the order of their fields is part of the format.

type wireMessage struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8
	Content cbor.RawMessage
}

type wireFinding struct {
	_                       struct{} `cbor:",toarray"`
	Server                  uint64
	Incarnation             int64
	Condition               uint8
	Retransmitting, Stalled uint16
	Recent                  bool
}

type wireOutcome struct {
	_           struct{} `cbor:",toarray"`
	Server      uint64
	Incarnation int64
	Outcome     uint8
}

type wireRelay struct {
	_        struct{} `cbor:",toarray"`
	Origin   []byte
	Targets  [][]byte
	Findings []wireFinding
}

// decodeMode limits the nesting and the length of arrays, so that a malformed message cannot exhaust memory.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 6, MaxArrayElements: 256, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// findingMessage holds findings of an aggregator, and the daemons to which its receiver sends them on. The sender names these, so that
// which daemons are reached does not depend on the membership that the receiver knows.
type findingMessage struct {
	origin   netip.AddrPort // the aggregator
	findings []steerer.Finding
	targets  []netip.AddrPort
}

// kindOf returns the kind of a message, 0 if it cannot be a message of this package. A kind from 24 to 255 takes the second and the third
// byte of the outer form.
func kindOf(b []byte) uint8 {
	if len(b) < 4 || b[0] != 0x82 || b[1] != 0x18 {
		return 0
	}
	return b[2]
}

func encodeMessage(kind uint8, content any) ([]byte, error) {
	b, err := cbor.Marshal(content)
	if err != nil {
		return nil, eris.Wrap(err, "encode health findings")
	}
	b, err = cbor.Marshal(wireMessage{Kind: kind, Content: b})
	return b, eris.Wrap(err, "encode health findings")
}

func decodeContent(b []byte, content any) error {
	var m wireMessage
	if err := decodeMode.Unmarshal(b, &m); err != nil {
		return eris.Wrapf(errMalformed, "%v", err)
	}
	if err := decodeMode.Unmarshal(m.Content, content); err != nil {
		return eris.Wrapf(errMalformed, "%v", err)
	}
	return nil
}

func encodeReport(list []steerer.Finding) ([]byte, error) {
	return encodeMessage(kindReport, findingsToWire(list))
}

func decodeReport(b []byte) ([]steerer.Finding, error) {
	var w []wireFinding
	if err := decodeContent(b, &w); err != nil {
		return nil, err
	}
	return findingsFromWire(w)
}

func encodeFinding(m *findingMessage) ([]byte, error) {
	w := wireRelay{Targets: make([][]byte, len(m.targets)), Findings: findingsToWire(m.findings)}
	var err error
	if w.Origin, err = m.origin.MarshalBinary(); err != nil {
		return nil, eris.Wrap(err, "encode the address of an aggregator")
	}
	for i, t := range m.targets {
		if w.Targets[i], err = t.MarshalBinary(); err != nil {
			return nil, eris.Wrap(err, "encode the address of a relay target")
		}
	}
	return encodeMessage(kindFinding, w)
}

func decodeFinding(b []byte) (*findingMessage, error) {
	var w wireRelay
	if err := decodeContent(b, &w); err != nil {
		return nil, err
	}
	m := &findingMessage{targets: make([]netip.AddrPort, len(w.Targets))}
	if m.origin.UnmarshalBinary(w.Origin) != nil || !m.origin.IsValid() {
		return nil, errMalformed
	}
	for i, t := range w.Targets {
		if m.targets[i].UnmarshalBinary(t) != nil || !m.targets[i].IsValid() {
			return nil, errMalformed
		}
	}
	var err error
	m.findings, err = findingsFromWire(w.Findings)
	for i := range m.findings {
		m.findings[i].Aggregated, m.findings[i].Origin = true, m.origin
	}
	return m, err
}

func findingsToWire(list []steerer.Finding) []wireFinding {
	w := make([]wireFinding, len(list))
	for i, f := range list {
		w[i] = wireFinding{
			Server: uint64(f.Server), Incarnation: f.Incarnation, Condition: uint8(f.Condition),
			Recent: f.Recent, Retransmitting: uint16(min(f.Evidence.RetransmittingFlows, 1<<16-1)), Stalled: uint16(min(f.Evidence.StalledFlows, 1<<16-1)),
		}
	}
	return w
}

func findingsFromWire(w []wireFinding) ([]steerer.Finding, error) {
	list := make([]steerer.Finding, len(w))
	for i, f := range w {
		if f.Condition > uint8(steerer.Reachable) {
			return nil, errMalformed
		}
		list[i] = steerer.Finding{
			Server: directory.ServerID(f.Server), Incarnation: f.Incarnation, Condition: steerer.Condition(f.Condition), Recent: f.Recent,
			Evidence: steerer.Evidence{RetransmittingFlows: int(f.Retransmitting), StalledFlows: int(f.Stalled)},
		}
	}
	return list, nil
}
