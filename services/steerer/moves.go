package steerer

import "time"

// A moved flow opening is a connection to a backend server that the client did not ask for: the first backend server may have accepted the
// flow already. The budget limits moved openings to a share of the first ones. It weighs that cost against the wait of a client whose
// backend server is dead:
//   - An opening at a suspected backend server always moves.
//   - If the backend server has answered any flow since the opening was first seen, a packet was lost or the backend server is short of
//     time. The opening moves within the budget only.
//   - Otherwise the backend server may be dead without other evidence. Beyond the budget the first retransmission, after 200 ms, stays,
//     and the second one, after 600 ms, moves. The client waits 400 ms longer, and the attempt still has 800 ms until its end.
const (
	// moveShare is the number of moved openings for each first opening: the share that quiet days allow.
	moveShare = 0.02
	// maxSavedMoves bounds the budget that a daemon saves up. A crash is detected after two openings, so this suffices for the crash of
	// a few backend servers at the same time.
	maxSavedMoves = 5
)

// moveBudget holds the moved openings that the budget still allows, less maxSavedMoves: a new daemon has the whole budget.
type moveBudget struct{ balance float64 }

// Connections counts the flow openings that a daemon has forwarded, each of which opens a connection at a backend server.
type Connections struct {
	ByClients uint64 // first forwardings: the first and later attempts of clients
	ByDaemon  uint64 // openings that the daemon has moved to another backend server
	Kept      uint64 // openings that went to the same backend server again because of the budget
}

// Connections returns the numbers of forwarded flow openings.
func (s *Steerer) Connections() Connections { return s.connections }

func (s *Steerer) countFirstOpening() {
	s.connections.ByClients++
	s.moveBudget.balance = min(s.moveBudget.balance+moveShare, 0)
}

func (s *Steerer) countMovedOpening() {
	s.connections.ByDaemon++
	s.moveBudget.balance = max(s.moveBudget.balance-1, -maxSavedMoves)
}

// mayMove reports whether a retransmitted opening packet may go to another backend server.
func (s *Steerer) mayMove(now time.Time, f *flow) bool {
	if s.estimator == nil || s.moveBudget.balance >= 1-maxSavedMoves || f.server.isSuspectedByAny(now) || f.server.removedFor(now) > 0 {
		return true
	}
	if !f.server.lastAnswer.After(f.firstSeen) && f.openingRetransmissions > 1 {
		return true
	}
	s.connections.Kept++
	return false
}
