package forwarder

import (
	"github.com/bluebelldyke/bluebelldyke/modules/counter"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// Indexes of the counters that a Forwarder increments.
const (
	countForwarded      = iota // packets of established flows sent to a backend server
	countRelayed               // replies of backend servers sent to callers
	countMalformed             // datagrams that do not parse or have an unexpected kind
	countUnknownAddress        // datagrams to an address that no service in the view has
	countWrongService          // datagrams for another service than the one at the address
	countBadToken              // tokens that do not open or do not fit the datagram
	countUnknownKey            // tokens sealed with a key that the settings do not have
	countExpiredToken          // answer tokens older than the token lifetime
	countOlderView             // datagrams dropped because their token was issued under newer settings
	countEnded                 // flows that ended
	countMoved                 // move datagrams sent to callers
	countOpened                // feeds that a backend server accepted
	countRequests              // idempotent requests, without retransmissions of pending ones
	countAnswered              // idempotent requests that were answered
	countRetries               // attempts at a further backend server
	countRefused               // refusals sent to callers
	countTimedOut              // attempts given up without a reply
	countReserved              // gate tokens issued to callers
	countExecuted              // execute datagrams passed to the gate
	countNotRun                // not-run outcomes sent to callers
	countUnknown               // unknown outcomes sent to callers
	countGateForwarded         // datagrams forwarded to the balancer that is their gate
	countGateLost              // forwarded datagrams whose gate is not this process
	countForeignReply          // datagrams that are not from a backend server of the service that they name
	countPendingFull           // refusals because the table of pending calls is full
	countLateSend              // packets not sent because the backend server was removed or the deadline has passed
	countResent                // run datagrams of the gate that were sent again
	countHeld                  // datagrams and retries dropped while placement is paused
	countOldKey                // tokens sealed with another key than the current one
	countWaited                // requests that waited because no backend server could take them
	// countRefusedByCause is the index of the first of the counters of refusals by cause.
	countRefusedByCause
)

// counterNames lists the names of the counters in index order.
var counterNames = []string{
	"forwarded", "relayed", "malformed", "unknown-address", "wrong-service", "bad-token", "unknown-key",
	"expired-token", "older-view", "ended", "moved", "opened", "requests", "answered", "retries", "refused",
	"timed-out", "reserved", "executed", "not-run", "unknown", "gate-forwarded", "gate-lost", "foreign-reply",
	"pending-full", "late-send", "resent", "held", "old-key",
	"waited",
}

// NewCounters returns the counter set of a Forwarder. After the named counters it has one counter of refusals for each cause.
func NewCounters() *counter.Set {
	names := append([]string(nil), counterNames...)
	for c := range framer.CauseCount {
		names = append(names, "refused-"+framer.Cause(c).String())
	}
	return counter.New(names)
}

// countRefusal counts a refusal, in total and by its cause.
func (f *Forwarder) countRefusal(cause framer.Cause) {
	f.count(countRefused)
	if cause < framer.CauseCount {
		f.count(countRefusedByCause + int(cause))
	}
}
