// Package digester encodes the digests with which daemons of an availability zone share how slow backend servers are.
package digester

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/services/estimator"
)

const (
	// Kind is the kind of the message. Daemons that do not know it drop the message.
	Kind = 32
	// Recipients is the number of random members that get a digest.
	Recipients = 3
	// MaxSize is the largest size of a message in bytes.
	MaxSize = 1000

	// recordSize is the size of a record: server (4 bytes), origin (2), factor, samples and age (1 each).
	recordSize = 9
	// ageUnit is the unit of ages in a message.
	ageUnit = 20 * time.Millisecond
	// transitTime is added to the ages in a message to account for the time that it took.
	transitTime = 20 * time.Millisecond
)

var errMalformed = eris.New("speed digest of a peer is malformed: check that all daemons run compatible versions")

// message is the outer form of all messages between daemons.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8
	Content []byte
}

// prefix is the beginning of an encoded digest: an array of two elements, of which the first is Kind.
var prefix = []byte{0x82, 0x18, Kind}

// Matches reports whether a message of a peer is a digest.
func Matches(payload []byte) bool { return bytes.HasPrefix(payload, prefix) }

// Encode encodes a digest of at most estimator.MaxDigestRecords records.
func Encode(digest []estimator.Record) ([]byte, error) {
	content := make([]byte, 0, recordSize*len(digest))
	for _, r := range digest {
		content = binary.BigEndian.AppendUint32(content, uint32(r.Server))
		content = binary.BigEndian.AppendUint16(content, r.Origin)
		content = append(content, byte(estimator.RoundFactor(r.Factor)), byte(min(r.Samples, 255)), byte(min(r.Age/ageUnit, 255)))
	}
	b, err := cbor.Marshal(message{Kind: Kind, Content: content})
	if err == nil && len(b) > MaxSize {
		return nil, eris.Errorf("speed digest of %d bytes: limit it to %d records", len(b), estimator.MaxDigestRecords)
	}
	return b, eris.Wrap(err, "encode a speed digest")
}

// Decode decodes a digest.
func Decode(payload []byte) ([]estimator.Record, error) {
	var m message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	if m.Kind != Kind || len(payload) > MaxSize || len(m.Content)%recordSize != 0 {
		return nil, errMalformed
	}
	digest := make([]estimator.Record, 0, len(m.Content)/recordSize)
	for b := m.Content; len(b) > 0; b = b[recordSize:] {
		digest = append(digest, estimator.Record{
			Server: estimator.Server(binary.BigEndian.Uint32(b)), Origin: binary.BigEndian.Uint16(b[4:]),
			Factor: estimator.FactorOf(int8(b[6])), Samples: int(b[7]), Age: time.Duration(b[8])*ageUnit + transitTime,
		})
	}
	return digest, nil
}
