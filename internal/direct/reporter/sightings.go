package reporter

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/services/inquirer"
)

// FlowTable knows the flows of this daemon.
type FlowTable interface {
	// AnswerQuery answers the query of another daemon. It returns false if it cannot.
	AnswerQuery(q *inquirer.Query) (inquirer.Reply, bool)
	// AddReply adds the answer of another daemon to a query of this one.
	AddReply(from netip.AddrPort, r *inquirer.Reply)
	// AddTakeover records that another daemon takes flows over.
	AddTakeover(from netip.AddrPort, hold time.Duration)
}

type wireFlow struct {
	_             struct{} `cbor:",toarray"`
	Client, Route []byte
}

type wireQuery struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Flows []wireFlow
}

type wireSighting struct {
	_               struct{} `cbor:",toarray"`
	Seen            bool
	IdleMicros      uint64
	Acknowledged    bool
	Acknowledgement uint32
}

type wireReply struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	MemoryMicros uint64
	Members      uint64
	Activity     inquirer.Activity
	Sightings    []wireSighting
}

type wireTakeover struct {
	_          struct{} `cbor:",toarray"`
	HoldMicros uint64
}

// maxMicros bounds the durations of a reply.
const maxMicros = uint64(24 * time.Hour / time.Microsecond)

// SendQueries sends queries to other daemons.
func (r *Reporter) SendQueries(list []inquirer.Message) {
	for i := range list {
		payload, err := encodeQuery(&list[i].Query)
		if err != nil {
			r.c.Logger.Error("query about flows not sent: encoding failed", zap.Error(err))
			continue
		}
		r.counts.queriesSent.Add(1)
		r.c.Peers.Notify(list[i].To, payload)
	}
}

func (r *Reporter) handleQuery(from netip.AddrPort, payload []byte) {
	q, err := decodeQuery(payload)
	if err != nil {
		r.c.Logger.Debug("query about flows dropped: decoding failed", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	r.counts.queriesReceived.Add(1)
	if r.c.Flows == nil {
		return
	}
	reply, ok := r.c.Flows.AnswerQuery(q)
	if !ok {
		return
	}
	b, err := encodeReply(&reply)
	if err != nil {
		r.c.Logger.Error("answer to a query about flows not sent: encoding failed", zap.Error(err))
		return
	}
	r.c.Peers.Notify(from, b)
}

func (r *Reporter) handleReply(from netip.AddrPort, payload []byte) {
	reply, err := decodeReply(payload)
	if err != nil {
		r.c.Logger.Debug("answer to a query about flows dropped: decoding failed", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	r.counts.repliesReceived.Add(1)
	if r.c.Flows != nil {
		r.c.Flows.AddReply(from, reply)
	}
}

// AnnounceTakeover tells the daemons of the zone that this one takes flows over.
func (r *Reporter) AnnounceTakeover(hold time.Duration) {
	payload, err := encodeMessage(kindTakeover, wireTakeover{HoldMicros: uint64(hold.Microseconds())})
	if err != nil {
		r.c.Logger.Error("takeover of flows not announced: encoding failed", zap.Error(err))
		return
	}
	peers, _ := r.zone()
	for _, to := range peers {
		r.counts.takeoversSent.Add(1)
		r.c.Peers.Notify(to, payload)
	}
}

func (r *Reporter) handleTakeover(from netip.AddrPort, payload []byte) {
	var w wireTakeover
	if err := decodeContent(payload, &w); err != nil {
		r.c.Logger.Debug("takeover of flows dropped: decoding failed", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	r.counts.takeoversReceived.Add(1)
	if r.c.Flows != nil {
		r.c.Flows.AddTakeover(from, time.Duration(min(w.HoldMicros, maxMicros))*time.Microsecond)
	}
}

func encodeQuery(q *inquirer.Query) ([]byte, error) {
	w := wireQuery{ID: q.ID, Flows: make([]wireFlow, len(q.Flows))}
	for i, f := range q.Flows {
		var err error
		if w.Flows[i].Client, err = f.Client.MarshalBinary(); err != nil {
			return nil, eris.Wrap(err, "encode the address of a client")
		}
		if w.Flows[i].Route, err = f.Route.MarshalBinary(); err != nil {
			return nil, eris.Wrap(err, "encode the address of a route")
		}
	}
	return encodeMessage(kindQuery, w)
}

func decodeQuery(b []byte) (*inquirer.Query, error) {
	var w wireQuery
	if err := decodeContent(b, &w); err != nil {
		return nil, err
	}
	if len(w.Flows) > inquirer.MaxFlows {
		return nil, errMalformed
	}
	q := &inquirer.Query{ID: w.ID, Flows: make([]inquirer.Flow, len(w.Flows))}
	for i := range w.Flows {
		f := &q.Flows[i]
		if f.Client.UnmarshalBinary(w.Flows[i].Client) != nil || f.Route.UnmarshalBinary(w.Flows[i].Route) != nil || !f.Client.IsValid() || !f.Route.IsValid() {
			return nil, errMalformed
		}
	}
	return q, nil
}

func encodeReply(r *inquirer.Reply) ([]byte, error) {
	w := wireReply{ID: r.ID, MemoryMicros: uint64(r.Memory.Microseconds()), Members: r.Members, Activity: r.Activity, Sightings: make([]wireSighting, len(r.Sightings))}
	for i, s := range r.Sightings {
		w.Sightings[i] = wireSighting{Seen: s.Seen, IdleMicros: uint64(s.Idle.Microseconds()), Acknowledged: s.Acknowledged, Acknowledgement: s.Acknowledgement}
	}
	return encodeMessage(kindReply, w)
}

func decodeReply(b []byte) (*inquirer.Reply, error) {
	var w wireReply
	if err := decodeContent(b, &w); err != nil {
		return nil, err
	}
	r := &inquirer.Reply{
		ID: w.ID, Memory: time.Duration(min(w.MemoryMicros, maxMicros)) * time.Microsecond, Members: w.Members, Activity: w.Activity, Sightings: make([]inquirer.Sighting, len(w.Sightings)),
	}
	for i, s := range w.Sightings {
		r.Sightings[i] = inquirer.Sighting{
			Seen: s.Seen, Idle: time.Duration(min(s.IdleMicros, maxMicros)) * time.Microsecond, Acknowledged: s.Acknowledged, Acknowledgement: s.Acknowledgement,
		}
	}
	return r, nil
}
