// Package framer encodes and decodes the datagrams between callers and balancers. A datagram is a header, which is one CBOR
// array, followed by the flow token and the payload.
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
	// Version is the version of the protocol, which every header carries.
	Version = 1
	// MaxSize is the largest datagram in bytes. It fits an Ethernet frame and leaves room for the headers of a tunnel.
	MaxSize = 1400
	// MaxPayload is the largest payload in bytes that fits a datagram with the largest header and a token. It leaves room for
	// the PROXY protocol header that a balancer adds for the backend server.
	MaxPayload = 1000
	// CallIDSize is the length of a call id in bytes.
	CallIDSize = 16
	// maxTokenSize is the largest token length in bytes, as TokenLength is one byte.
	maxTokenSize = 255
)

// Kind is the kind of a datagram, which says what the caller asks for or what the balancer replies.
type Kind uint8

// Kinds that callers send.
const (
	// KindOpenFeed opens a feed: a subscription to the readings of a topic.
	KindOpenFeed Kind = 1
	// KindFeed acknowledges the readings up to Seq and keeps the feed alive.
	KindFeed      Kind = 2
	KindCloseFeed Kind = 3
	// KindRequest sends an idempotent request. Any balancer may retry it.
	KindRequest Kind = 4
	// KindReserve asks a balancer for a reservation: the token for one non-idempotent request.
	KindReserve Kind = 5
	// KindExecute sends a non-idempotent request with its reservation. It is run at most once.
	KindExecute Kind = 6
	// KindFetch asks for the parts of an answer that the caller lacks, as a bitmap in the payload.
	KindFetch Kind = 7
	// KindCancel cancels a feed or a request.
	KindCancel Kind = 8
)

// Kinds that balancers send.
const (
	// KindOpened confirms a feed and carries its flow token.
	KindOpened Kind = 16
	// KindReading carries one reading of a feed.
	KindReading Kind = 17
	// KindReserved carries the token by which the caller reaches the balancer that holds its request or reservation.
	KindReserved Kind = 18
	// KindAnswer carries one part of the answer to a request.
	KindAnswer Kind = 19
	// KindNotRun reports that a request was not run and will not be.
	KindNotRun Kind = 20
	// KindRefused refuses a flow or a request. Its cause decides whether the caller retries.
	KindRefused Kind = 21
	// KindMove asks the caller to open its feed again, as the backend server is draining.
	KindMove Kind = 22
	// KindEnded reports that a feed has ended.
	KindEnded Kind = 23
	// KindOutcomeUnknown reports that a request may or may not have been run.
	KindOutcomeUnknown Kind = 24
)

// Cause is the reason why a flow or a request is refused or ended. The backend protocol uses the same numbers.
type Cause uint8

// The causes of KindRefused, KindNotRun, KindOutcomeUnknown, KindMove and KindEnded.
const (
	CauseNone Cause = 0
	// CauseShed is load shedding.
	CauseShed Cause = 1
	// CauseDraining is a draining backend server.
	CauseDraining        Cause = 2
	CauseNoBackendServer Cause = 3
	// CauseWrongService is a service other than that of the service address or of the backend server.
	CauseWrongService Cause = 4
	CauseBadToken     Cause = 5
	// CauseExpired is a deadline that has passed.
	CauseExpired  Cause = 6
	CauseCanceled Cause = 7
	// CauseGateLost is a gate (the balancer that granted a reservation) that has restarted or that the packet did not reach.
	CauseGateLost Cause = 8
	// CauseUnknownFlow is a flow that its backend server does not know, or whose backend server was removed.
	CauseUnknownFlow Cause = 9
	// CauseRestarted is a restart of the backend server since the flow was opened.
	CauseRestarted Cause = 10
	// CauseStopping is a balancer in graceful shutdown.
	CauseStopping Cause = 11
	// CauseTooLarge is an answer that exceeds the caller's limit.
	CauseTooLarge Cause = 12
	// CauseRateLimited is a balancer without capacity for the request or reservation at the moment.
	CauseRateLimited Cause = 13
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
	ErrTruncated          = eris.New("datagram is shorter than its header and token: send whole datagrams")
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
	ServiceID uint64 // see the function ServiceID
	CallID    [CallIDSize]byte
	// Seq is the sequence number of a reading: of the carried one, or of the last one that the caller holds. In an answer it
	// is the index of the part.
	Seq       uint64
	PartCount uint32    // of an answer
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
	ServiceID   uint64
	CallID      [CallIDSize]byte
	Seq         uint64
	PartCount   uint32
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

// encodeBuffer is the scratch space of appendHeader. It is pooled to save allocations for each datagram.
type encodeBuffer struct {
	header header
	buffer bytes.Buffer
}

var encodeBufferPool = sync.Pool{New: func() any { return new(encodeBuffer) }}

// Append appends the wire form of d to dst.
func Append(dst []byte, d *Datagram) ([]byte, error) {
	if len(d.Token) > maxTokenSize {
		return dst, ErrOversized
	}
	var out []byte
	var err error
	if d.fitsTemplate() {
		out, err = appendFromTemplate(dst, d)
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

// appendHeader appends the header of d, encoded by the CBOR library.
func appendHeader(dst []byte, d *Datagram) ([]byte, error) {
	e := encodeBufferPool.Get().(*encodeBuffer)
	defer encodeBufferPool.Put(e)
	e.buffer.Reset()
	e.header = header{
		Version: Version, Kind: uint8(d.Kind), ServiceID: d.ServiceID, CallID: d.CallID, Seq: d.Seq, PartCount: d.PartCount,
		Deadline: unixMilli(d.Deadline), Cause: uint8(d.Cause), TokenLength: uint8(len(d.Token)),
	}
	if err := encMode.MarshalToBuffer(&e.header, &e.buffer); err != nil {
		return dst, eris.Wrap(err, "encode the datagram header")
	}
	return append(dst, e.buffer.Bytes()...), nil
}

// headerPool holds scratch headers for the CBOR library. They are pooled because its arguments escape to the heap.
var headerPool = sync.Pool{New: func() any { return new(header) }}

// Parse decodes b into d. It overwrites all fields of d.
func Parse(b []byte, d *Datagram) error {
	if len(b) > MaxSize {
		return ErrOversized
	}
	var h header
	rest, ok := parseFast(b, &h)
	if !ok {
		var err error
		if rest, err = parseWithLibrary(b, &h); err != nil {
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
		Kind: Kind(h.Kind), ServiceID: h.ServiceID, CallID: h.CallID, Seq: h.Seq, PartCount: h.PartCount,
		Deadline: fromUnixMilli(h.Deadline), Cause: Cause(h.Cause),
		Token: rest[:h.TokenLength:h.TokenLength], Payload: rest[h.TokenLength:],
	}
	return nil
}

// parseWithLibrary decodes a header with the CBOR library, which accepts every valid form.
func parseWithLibrary(b []byte, h *header) (rest []byte, err error) {
	scratch := headerPool.Get().(*header)
	defer headerPool.Put(scratch)
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
