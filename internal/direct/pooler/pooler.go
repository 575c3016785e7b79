// Package pooler encodes the reports about long delays with which daemons of an availability zone detect an overload together.
package pooler

import (
	"bytes"
	"encoding/binary"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/services/admitter"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// Kind is the kind of the message. Daemons that do not know it drop the message.
	Kind = 34
	// MaxSize is the largest size of a message in bytes.
	MaxSize = 200

	// headSize is the size of a report without the name of its service: mean delay in ms (2 bytes), share of the target latency, samples
	// and age (1 each).
	headSize = 5
	// shareUnit is the unit of the share of the target latency.
	shareUnit = 1.0 / 200
	// ageUnit is the unit of ages in a message.
	ageUnit = 5 * time.Millisecond
	// transitTime is added to the age in a message to account for the time that it took.
	transitTime = 5 * time.Millisecond
)

var errMalformed = eris.New("admission report of a peer is malformed: check that all daemons run compatible versions")

// message is the outer form of all messages between daemons.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8
	Content []byte
}

// prefix is the beginning of an encoded report: an array of two elements, of which the first is Kind.
var prefix = []byte{0x82, 0x18, Kind}

// Matches reports whether a message of a peer is an admission report.
func Matches(payload []byte) bool { return bytes.HasPrefix(payload, prefix) }

// Encode encodes a report.
func Encode(r steerer.AdmissionReport) ([]byte, error) {
	content := binary.BigEndian.AppendUint16(nil, uint16(min(r.Delay.Milliseconds(), math.MaxUint16)))
	content = append(content, byte(min(math.Round(r.Share/shareUnit), 255)), byte(min(r.Samples, 255)), byte(min(r.Age/ageUnit, 255)))
	b, err := cbor.Marshal(message{Kind: Kind, Content: append(content, r.Service...)})
	if err == nil && len(b) > MaxSize {
		return nil, eris.Errorf("admission report of %d bytes: limit the name of the service %q to 180 bytes", len(b), r.Service)
	}
	return b, eris.Wrap(err, "encode an admission report")
}

// Decode decodes a report.
func Decode(payload []byte) (steerer.AdmissionReport, error) {
	var m message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return steerer.AdmissionReport{}, eris.Wrapf(errMalformed, "%v", err)
	}
	if m.Kind != Kind || len(payload) > MaxSize || len(m.Content) <= headSize {
		return steerer.AdmissionReport{}, errMalformed
	}
	b := m.Content
	return steerer.AdmissionReport{Service: string(b[headSize:]), Report: admitter.Report{
		Delay: time.Duration(binary.BigEndian.Uint16(b)) * time.Millisecond, Share: float64(b[2]) * shareUnit, Samples: int(b[3]),
		Age: time.Duration(b[4])*ageUnit + transitTime,
	}}, nil
}
