// Package framer encodes and decodes the datagrams between callers and balancers: one CBOR array header, then the
// flow token, then the payload.
package framer

import (
	"bytes"
	"hash/fnv"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// Version is the protocol version in every header.
	Version = 1
	// MaxSize is the largest datagram in bytes. It fits an Ethernet frame with room for the headers of a tunnel.
	MaxSize = 1400
	// MaxPayload is the largest payload in bytes beside the largest header and a token. It leaves room for the PROXY
	// protocol header towards a backend server.
	MaxPayload = 1000
	// CallIDSize is the length of a call id in bytes.
	CallIDSize = 16
	// maxToken is the largest token length that a header can announce.
	maxToken = 255
)

// Kind is the kind of a datagram.
type Kind uint8

// Kinds that callers send.
const (
	KindOpenFeed  Kind = 1
	KindFeed      Kind = 2
	KindCloseFeed Kind = 3
	KindRequest   Kind = 4
	KindReserve   Kind = 5
	KindExecute   Kind = 6
	KindFetch     Kind = 7
	KindCancel    Kind = 8
)

// Kinds that balancers send.
const (
	KindOpened         Kind = 16
	KindReading        Kind = 17
	KindReserved       Kind = 18
	KindAnswer         Kind = 19
	KindNotRun         Kind = 20
	KindRefused        Kind = 21
	KindMove           Kind = 22
	KindEnded          Kind = 23
	KindOutcomeUnknown Kind = 24
)

// Cause says why a datagram refuses or ends something. The backend protocol uses the same numbers.
type Cause uint8

// The causes.
const (
	CauseNone            Cause = 0
	CauseShed            Cause = 1
	CauseDraining        Cause = 2
	CauseNoBackendServer Cause = 3
	CauseWrongService    Cause = 4
	CauseBadToken        Cause = 5
	CauseExpired         Cause = 6
	CauseCanceled        Cause = 7
	CauseGateLost        Cause = 8
	CauseUnknownFlow     Cause = 9
	CauseRestarted       Cause = 10
	CauseStopping        Cause = 11
	CauseTooLarge        Cause = 12
	CauseRateLimited     Cause = 13
	// CauseCount is the number of causes.
	CauseCount = 14
)

var causeNames = [...]string{
	"none", "shed", "draining", "no-backend-server", "wrong-service", "bad-token", "expired", "canceled", "gate-lost",
	"unknown-flow", "restarted", "stopping", "too-large", "rate-limited",
}

// String returns the kebab-case name of the cause.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "unassigned"
}

// Errors of Append and Parse.
var (
	ErrTruncated          = eris.New("datagram ends before its header or token does: send whole datagrams")
	ErrOversized          = eris.New("datagram is larger than 1400 bytes: send smaller payloads")
	ErrMalformed          = eris.New("datagram header is not the CBOR array of this protocol: check the caller's codec")
	ErrUnsupportedVersion = eris.New("datagram has another protocol version: use version 1")
)

// IsErrTruncated reports whether err is an ErrTruncated.
func IsErrTruncated(err error) bool { return eris.Is(err, ErrTruncated) }

// IsErrOversized reports whether err is an ErrOversized.
func IsErrOversized(err error) bool { return eris.Is(err, ErrOversized) }

// IsErrMalformed reports whether err is an ErrMalformed.
func IsErrMalformed(err error) bool { return eris.Is(err, ErrMalformed) }

// IsErrUnsupportedVersion reports whether err is an ErrUnsupportedVersion.
func IsErrUnsupportedVersion(err error) bool { return eris.Is(err, ErrUnsupportedVersion) }

// Datagram is one datagram. After Parse, Token and Payload are slices of the parsed input.
type Datagram struct {
	Kind      Kind
	ServiceID uint64
	CallID    [CallIDSize]byte
	Seq       uint64
	PartCount uint32
	Deadline  time.Time // the zero time means none
	Cause     Cause
	Token     []byte
	Payload   []byte
}

// header is the wire form of a datagram's header.
type header struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	Kind        uint8
	Service     uint64
	Call        [CallIDSize]byte
	Seq         uint64
	Count       uint32
	Deadline    int64
	Cause       uint8
	TokenLength uint8
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.UserBufferEncMode {
	m, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: 16,
		MaxNestedLevels:  4,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// writer holds the scratch space of appendHeader, which would otherwise be allocated for each datagram.
type writer struct {
	header header
	buffer bytes.Buffer
}

var writers = sync.Pool{New: func() any { return new(writer) }}

// Append appends the wire form of d to dst.
func Append(dst []byte, d *Datagram) ([]byte, error) {
	if len(d.Token) > maxToken {
		return dst, ErrOversized
	}
	var out []byte
	var err error
	if d.templated() {
		out, err = appendTemplated(dst, d)
	} else {
		out, err = appendHeader(dst, d)
	}
	if err != nil {
		return dst, err
	}
	out = append(out, d.Token...)
	out = append(out, d.Payload...)
	if len(out)-len(dst) > MaxSize {
		return dst, ErrOversized
	}
	return out, nil
}

// appendHeader appends the header of d as the library encodes it.
func appendHeader(dst []byte, d *Datagram) ([]byte, error) {
	w := writers.Get().(*writer)
	defer writers.Put(w)
	w.buffer.Reset()
	w.header = header{
		Version: Version, Kind: uint8(d.Kind), Service: d.ServiceID, Call: d.CallID, Seq: d.Seq, Count: d.PartCount,
		Deadline: unixMilli(d.Deadline), Cause: uint8(d.Cause), TokenLength: uint8(len(d.Token)),
	}
	if err := encMode.MarshalToBuffer(&w.header, &w.buffer); err != nil {
		return dst, eris.Wrap(err, "encode the datagram header")
	}
	return append(dst, w.buffer.Bytes()...), nil
}

// headers holds scratch headers for the library, whose arguments escape to the heap.
var headers = sync.Pool{New: func() any { return new(header) }}

// Parse decodes b into d. It overwrites all fields of d.
func Parse(b []byte, d *Datagram) error {
	if len(b) > MaxSize {
		return ErrOversized
	}
	var h header
	rest, ok := parseCommon(b, &h)
	if !ok {
		var err error
		if rest, err = parseAny(b, &h); err != nil {
			return err
		}
	}
	if h.Version != Version {
		return ErrUnsupportedVersion
	}
	if len(rest) < int(h.TokenLength) {
		return ErrTruncated
	}
	*d = Datagram{
		Kind: Kind(h.Kind), ServiceID: h.Service, CallID: h.Call, Seq: h.Seq, PartCount: h.Count,
		Deadline: fromUnixMilli(h.Deadline), Cause: Cause(h.Cause),
		Token: rest[:h.TokenLength:h.TokenLength], Payload: rest[h.TokenLength:],
	}
	return nil
}

// parseAny decodes every valid form of the header with the library.
func parseAny(b []byte, h *header) (rest []byte, err error) {
	scratch := headers.Get().(*header)
	defer headers.Put(scratch)
	*scratch = header{}
	rest, err = decMode.UnmarshalFirst(b, scratch)
	if eris.Is(err, io.ErrUnexpectedEOF) || eris.Is(err, io.EOF) {
		return nil, ErrTruncated
	}
	if err != nil {
		return nil, ErrMalformed
	}
	*h = *scratch
	return rest, nil
}

// ServiceID returns the id of a service: the 64-bit FNV-1a hash of its name.
func ServiceID(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return h.Sum64()
}

func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
