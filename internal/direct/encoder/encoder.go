// Package encoder defines the messages between daemons of the direct mode and their encoding.
package encoder

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/evacuator"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// Document identifies one of the documents that daemons exchange.
type Document uint8

const (
	BackendListDocument   Document = 0
	ConfigurationDocument Document = 1
	DocumentCount                  = 2
)

const (
	// MaxFragments limits the size of a document: a list of 29,000 backend servers takes 1.3 MB.
	MaxFragments = 2048
	// MaxRelayBytes limits the payload of a relay together with the addresses of its targets, each of which takes AddressBytes, so that
	// the relay fits the datagram of a peer and the packets of common links.
	MaxRelayBytes = 1300
	AddressBytes  = 8
)

// Form is the form in which an announcement is encoded.
type Form uint8

// The forms, from that of the earliest version on. Members advertise what they understand.
const (
	WithoutEras     Form = iota
	WithEras             // packer.Member.KnowsEras
	WithEvacuations      // packer.Member.KnowsEvacuations
)

// Forms returns all forms.
func Forms() []Form { return []Form{WithoutEras, WithEras, WithEvacuations} }

// The kinds of messages between daemons.
const (
	kindAnnouncement = 1
	kindRequest      = 2
	kindFragment     = 3
	kindFindings     = 4
	kindEvidence     = 5
	kindRelay        = 6
	// The kinds below carry the era of the platform's store. Daemons of earlier versions drop them and get the kinds above.
	kindEraAnnouncement = 7
	kindEraRequest      = 8
	kindEraFragment     = 9
	// kindZoneAnnouncement carries the evacuated zones too. Only members that advertise packer.Member.KnowsEvacuations get it.
	kindZoneAnnouncement = 10
	// kindDepartures carries removed entries. Daemons of earlier versions drop it.
	kindDepartures = 11
)

// ErrMalformed is returned for a message that this version cannot decode.
var ErrMalformed = eris.New("message of a peer is malformed: check that all daemons run compatible versions")

// Announcement tells peers which backend list and configuration a daemon has, and how old they are. Each announcement
// carries one of the deltas that lead from the previous backend list to the current one.
type Announcement struct {
	Zone           string
	Delta          lister.Delta // Revision 0: the daemon has no backend list
	BackendListAge time.Duration
	ConfigVersion  uint64 // 0: the daemon has no configuration
	ConfigRoutes   int
	ConfigAge      time.Duration
	HasEra         bool // false for an announcement of an earlier version, which lacks the fields below and the era of the delta
	ConfigStoredAt directory.Position
	ConfigDigest   uint64
	// Evacuations is nil if the daemon knows no set or does not send it.
	Evacuations *evacuator.Snapshot
	// Services holds what the announced configuration states about services, as far as limits of cold backend servers need it. The
	// configuration as daemons transfer it lacks the services, because earlier versions could not decode it otherwise.
	Services []directory.Service
}

// Request asks a peer for a whole document.
type Request struct {
	Document Document
	// PlatformLost is set by a daemon that cannot read the platform, so that peers send the document whatever its size.
	PlatformLost bool
	KnowsEras    bool // the requesting daemon understands a fragment with an era
}

// Fragment is a part of a whole document.
type Fragment struct {
	Document Document
	Position directory.Position // of the platform's store when the document was current
	Identity uint64             // digest of a backend list, version of a configuration
	Age      time.Duration
	Index    int
	Count    int
	Content  []byte
	HasEra   bool               // false for a fragment of an earlier version, which lacks the era of the position and the field below
	StoredAt directory.Position // of a configuration
}

// Findings are health findings: what a daemon concluded about the condition of backend servers.
type Findings []steerer.Finding

// Relay is an announcement that its receiver handles and sends on to others. The sender names these targets, so that which daemons are
// reached does not depend on the membership that the receiver knows. A receiver that was paused sends on an old announcement; daemons
// that know a later read ignore it because of its position.
type Relay struct {
	Targets []netip.AddrPort
	Payload []byte
}
