// Package transceiver transfers UDP datagrams between sockets and the ring buffers of a daemon, several datagrams per system call.
// A few receivers wait on all sockets and own the read buffers, so that an idle socket needs none.
package transceiver

import (
	"net/netip"
	"sync"
)

const (
	// batchSize is the maximum number of datagrams that one system call reads.
	batchSize = 32
	// bufferSize is enough for the largest datagram of both protocols: a caller datagram with a PROXY header and its TLVs.
	bufferSize = 2048
	// socketBufferSize is the requested size in bytes of the receive queue and of the send queue of each socket.
	socketBufferSize = 4 << 20
	// listenErrorFormat is the error message for a socket that cannot be opened, with the remedy.
	listenErrorFormat = "listen on UDP %s: free the port or change the address in the settings"
)

// Datagram is one datagram that a socket received.
type Datagram struct {
	From netip.AddrPort
	Data []byte
}

// Batch holds datagrams that one socket received. Release returns its memory.
type Batch struct {
	// ServiceAddress is the service address of the socket, or the zero value for the backend socket.
	ServiceAddress netip.AddrPort
	Datagrams      []Datagram
	data           []byte // the data of all datagrams, to which their slices refer
}

var batchPool = sync.Pool{New: func() any { return &Batch{Datagrams: make([]Datagram, 0, batchSize)} }}

// newBatch returns an empty batch with capacity for size bytes of data.
func newBatch(serviceAddress netip.AddrPort, size int) *Batch {
	b := batchPool.Get().(*Batch)
	b.ServiceAddress = serviceAddress
	b.Datagrams = b.Datagrams[:0]
	if cap(b.data) < size {
		b.data = make([]byte, 0, size)
	}
	b.data = b.data[:0]
	return b
}

// add copies one datagram into the batch, so that a batch in a ring occupies only the memory of its datagrams.
func (b *Batch) add(from netip.AddrPort, data []byte) {
	start := len(b.data)
	b.data = append(b.data, data...)
	b.Datagrams = append(b.Datagrams, Datagram{From: from, Data: b.data[start:len(b.data):len(b.data)]})
}

// Release returns the batch for reuse. Its data must not be used afterwards.
func (b *Batch) Release() { batchPool.Put(b) }
