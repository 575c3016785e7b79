package packer

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxReportBytes is the largest total size of the health reports in one datagram. Six IPv4 reports fit: of live backend
// servers by the sender, or of failed ones by other checkers.
const MaxReportBytes = 200

// Health is the state of a backend server as observed by a checker.
type Health uint8

// The states of a backend server. HealthUnknown withdraws the earlier reports of the checker.
const (
	HealthUnknown  Health = 0
	HealthLive     Health = 1
	HealthWarming  Health = 2
	HealthDraining Health = 3
	HealthFailed   Health = 4
)

// Report is a health report: the state of a backend server that one checker observed.
type Report struct {
	BackendServer netip.AddrPort
	// Checker is the peer address of the daemon that ran the health check.
	Checker netip.AddrPort
	State   Health
	// Counter increases with each report of the checker. It starts at the checker's incarnation, so that reports of an earlier
	// process are recognized as stale.
	Counter uint64
	// Incarnation is the incarnation of the backend server, or 0 if it is not known.
	Incarnation uint64
	// Running and Queued are the numbers of requests at the backend server.
	Running, Queued uint8
	// Age is the time since the health check. On the wire it is in whole seconds.
	Age time.Duration
}

// maxWireAgeSeconds is the largest age on the wire.
const maxWireAgeSeconds = 1<<16 - 1

// wireReport is the wire form of a report. Checker is empty if the sender is the checker.
type wireReport struct {
	_                    struct{} `cbor:",toarray"`
	State                uint8
	BackendServer        []byte
	Checker              []byte
	Counter, Incarnation uint64
	Running, Queued      uint8
	Age                  uint16
}

// Size returns the number of bytes that the report takes in a datagram sent by the daemon with the address sender.
func (r *Report) Size(sender netip.AddrPort) int {
	b, _ := cbor.Marshal(encodeReport(r, sender)) // can't fail for integers and byte strings
	return len(b)
}

func encodeReport(r *Report, sender netip.AddrPort) wireReport {
	// Rounds up, so that a report that is relayed many times does not seem younger than it is and outlive its maximum age.
	age := (max(r.Age, 0) + time.Second - 1) / time.Second
	w := wireReport{
		State: uint8(r.State), BackendServer: appendAddress(nil, unmap(r.BackendServer)), Counter: r.Counter,
		Incarnation: r.Incarnation, Running: r.Running, Queued: r.Queued, Age: uint16(min(age, maxWireAgeSeconds)),
	}
	if r.Checker.IsValid() && r.Checker != sender {
		w.Checker = appendAddress(nil, unmap(r.Checker))
	}
	return w
}

// encodeReports returns the wire form of the reports, or ErrOversized if they exceed MaxReportBytes.
func encodeReports(reports []Report, sender netip.AddrPort) ([]wireReport, error) {
	var wire []wireReport
	size := 0
	for i := range reports {
		wire = append(wire, encodeReport(&reports[i], sender))
		size += reports[i].Size(sender)
	}
	if size > MaxReportBytes {
		return nil, ErrOversized
	}
	return wire, nil
}

// decodeReports decodes the reports of a datagram. Reports of the sender have no Checker yet; Unpack sets it.
func decodeReports(wire []wireReport) ([]Report, error) {
	var reports []Report
	size := 0
	for _, w := range wire {
		r := Report{
			State: Health(w.State), Counter: w.Counter, Incarnation: w.Incarnation, Running: w.Running, Queued: w.Queued,
			Age: time.Duration(w.Age) * time.Second,
		}
		if r.State > HealthFailed {
			return nil, ErrMalformed
		}
		var err error
		if r.BackendServer, err = decodeAddress(w.BackendServer); err != nil {
			return nil, err
		}
		if len(w.Checker) > 0 {
			if r.Checker, err = decodeAddress(w.Checker); err != nil {
				return nil, err
			}
		}
		if size += r.Size(netip.AddrPort{}); size > MaxReportBytes {
			return nil, ErrMalformed
		}
		reports = append(reports, r)
	}
	return reports, nil
}
