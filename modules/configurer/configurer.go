// Package configurer reads the process settings of a daemon: its addresses, its availability zone, the URL of the platform
// and the addresses of its peers. A daemon reads them once, at start.
package configurer

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// KeySize is the length of the fleet key in bytes.
const KeySize = 32

// EntryBind selects the addresses on which the daemon receives callers' datagrams.
type EntryBind string

// The ways to bind the entry sockets.
const (
	// EntryIP listens on the entry IP address, at the port of each service.
	EntryIP EntryBind = "entry-ip"
	// ServiceAddress listens on the address of each service, which the fabric routes to the VM.
	ServiceAddress EntryBind = "service-address"
)

// Settings are the process settings of a daemon.
type Settings struct {
	AvailabilityZone string
	Entry            Entry
	Peer             Peer
	Platform         Platform
	Operator         Operator
	Metrics          Metrics
	Stop             Stop
	Log              Log
}

// Entry configures the sockets that receive from callers.
type Entry struct {
	IP   netip.Addr // required unless Bind is ServiceAddress
	Bind EntryBind
}

// Peer configures the socket for messages between daemons.
type Peer struct {
	Bind      netip.AddrPort
	Advertise netip.AddrPort   // address at which other daemons reach this one
	Key       [KeySize]byte    // fleet key, shared by all daemons
	Seeds     []netip.AddrPort // daemons to contact first to join the fleet
}

// Platform is the location of the platform, the configuration service.
type Platform struct{ URL string }

// Operator is the address on which the daemon answers status and audit queries.
type Operator struct{ Bind netip.AddrPort }

// Metrics is the HTTP address that serves /metrics and /healthz.
type Metrics struct{ Bind netip.AddrPort }

// Stop limits the duration of a graceful shutdown.
type Stop struct{ Grace time.Duration }

// Log selects the level and the format of log lines.
type Log struct{ Level, Format string }

// ErrUnreadable is returned for a settings file that cannot be read.
type ErrUnreadable struct {
	File  string
	Cause error
}

// Error names the file, the cause and the remedy.
func (e *ErrUnreadable) Error() string {
	cause := e.Cause
	var pathErr *os.PathError
	if eris.As(cause, &pathErr) { // the text of a PathError repeats the file name
		cause = pathErr.Err
	}
	return fmt.Sprintf("%s: cannot be read: %s: name an existing file that this user may read", e.File, cause)
}

// Unwrap returns the cause, for use with errors.Is and errors.As.
func (e *ErrUnreadable) Unwrap() error { return e.Cause }

// IsErrUnreadable reports whether err holds an ErrUnreadable.
func IsErrUnreadable(err error) bool {
	var unreadable *ErrUnreadable
	return eris.As(err, &unreadable)
}

// ReadFile returns the content of a settings file, or an ErrUnreadable.
func ReadFile(file string) ([]byte, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &ErrUnreadable{File: file, Cause: err}
	}
	return content, nil
}

// Load reads and validates the process settings in the file. The error is an ErrUnreadable or an inspector.ErrInvalid that
// lists all problems.
func Load(file string) (Settings, error) {
	content, err := ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, content)
}
