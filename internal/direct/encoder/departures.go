package encoder

import (
	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// MaxDepartures bounds the departures in a message, so that it fits a datagram.
const MaxDepartures = 72

// Departures are backend servers whose entries were removed lately.
type Departures []directory.Departure

type wireDeparture struct {
	_   struct{} `cbor:",toarray"`
	ID  uint64
	Age uint32 // ms
}

// Encode encodes at most MaxDepartures departures.
func (l Departures) Encode() ([]byte, error) {
	w := make([]wireDeparture, min(len(l), MaxDepartures))
	for i := range w {
		w[i] = wireDeparture{ID: uint64(l[i].ID), Age: toMilliseconds(l[i].Age)}
	}
	return encodeMessage(kindDepartures, w)
}

func decodeDepartures(b []byte) (any, error) {
	var w []wireDeparture
	if err := decodeMode.Unmarshal(b, &w); err != nil || len(w) > MaxDepartures {
		return nil, ErrMalformed
	}
	l := make(Departures, len(w))
	for i := range w {
		if w[i].ID == 0 {
			return nil, ErrMalformed
		}
		l[i] = directory.Departure{ID: directory.ServerID(w[i].ID), Age: fromMilliseconds(w[i].Age)}
	}
	return l, nil
}
