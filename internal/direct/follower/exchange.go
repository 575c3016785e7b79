package follower

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/digester"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/pooler"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// transitTime is added to the ages in messages of peers to account for the time that the message took.
	transitTime = 20 * time.Millisecond
	// maxFindings limits the findings of one message, which then takes 1,000 bytes.
	maxFindings = 40
)

// HandleNotice handles a message of a peer.
func (f *Follower) HandleNotice(from netip.AddrPort, payload []byte) {
	if digester.Matches(payload) {
		f.handleDigest(from, payload)
		return
	}
	if pooler.Matches(payload) {
		f.handleAdmissionReport(from, payload)
		return
	}
	m, err := encoder.Decode(payload)
	if err != nil {
		f.c.Logger.Debug("message of a peer dropped: decoding failed", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	switch m := m.(type) {
	case *encoder.Announcement:
		f.handleAnnouncement(from, m)
	case *encoder.Relay:
		f.handleRelay(from, m)
	case *encoder.Request:
		f.sendDocument(from, m)
	case *encoder.Fragment:
		f.handleFragment(from, m)
	case encoder.Departures:
		if f.c.HandleDepartures != nil {
			f.c.HandleDepartures(m)
		}
	case encoder.Findings:
		for i := range m {
			m[i].Origin = from
		}
		f.c.Sink.AddFindings(m)
	}
}

// SendFindings sends health findings to the peers, and the evidence that this daemon cannot judge alone, in the messages that daemons of
// all versions understand.
func (f *Follower) SendFindings(list []steerer.Finding, to []netip.AddrPort) {
	var conclusive encoder.Findings
	var evidence encoder.FlowEvidence
	for _, finding := range list {
		if finding.Condition != steerer.Inconclusive {
			conclusive = append(conclusive, finding)
		}
		if finding.Condition != steerer.Silent && finding.Evidence.RetransmittingFlows > 0 {
			evidence = append(evidence, finding)
		}
	}
	for batch := range slices.Chunk(conclusive, maxFindings) {
		f.sendToPeers(to, batch.Encode)
	}
	for batch := range slices.Chunk(evidence, maxFindings) {
		f.sendToPeers(to, batch.Encode)
	}
}

// sendToPeers encodes a message with findings and sends it to the peers.
func (f *Follower) sendToPeers(to []netip.AddrPort, encode func() ([]byte, error)) {
	payload, err := encode()
	if err != nil {
		f.c.Logger.Error("health findings not sent: encoding failed", zap.Error(err))
		return
	}
	for _, address := range to {
		f.c.Peers.Notify(address, payload)
	}
}
