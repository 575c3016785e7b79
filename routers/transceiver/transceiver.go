// Package transceiver moves UDP datagrams between sockets and the rings of a daemon, several datagrams a system call. A
// few receivers wait on all sockets together and own the buffers, so that an idle socket holds none.
package transceiver

import (
	"net/netip"
	"sync"
)

const (
	// batchSize is how many datagrams one system call reads or writes at most.
	batchSize = 32
	// bufferSize holds the largest datagram of either protocol: a caller datagram, a PROXY header and its TLVs.
	bufferSize = 2048
	// socketBuffer is the size that is asked of the kernel for each socket's queues, in bytes.
	socketBuffer = 4 << 20
	// listenRemedy tells what to do about a socket that does not open.
	listenRemedy = "listen on UDP %s: free the port or change the address in the settings"
)

// Datagram is one datagram that a socket received.
type Datagram struct {
	From netip.AddrPort
	Data []byte
}

// Batch is a group of datagrams that one socket received. Release returns its memory.
type Batch struct {
	// ServiceAddress is the service address of the socket, or the zero value for the backend socket.
	ServiceAddress netip.AddrPort
	Datagrams      []Datagram
	arena          []byte
}

var batches = sync.Pool{New: func() any { return &Batch{Datagrams: make([]Datagram, 0, batchSize)} }}

// newBatch returns an empty batch with room for size bytes.
func newBatch(local netip.AddrPort, size int) *Batch {
	b := batches.Get().(*Batch)
	b.ServiceAddress = local
	b.Datagrams = b.Datagrams[:0]
	if cap(b.arena) < size {
		b.arena = make([]byte, 0, size)
	}
	b.arena = b.arena[:0]
	return b
}

// add copies one datagram into the batch, so that a batch that waits takes only the memory of what it holds.
func (b *Batch) add(from netip.AddrPort, data []byte) {
	start := len(b.arena)
	b.arena = append(b.arena, data...)
	b.Datagrams = append(b.Datagrams, Datagram{From: from, Data: b.arena[start:len(b.arena):len(b.arena)]})
}

// Release returns the batch for reuse. Its data must not be used afterwards.
func (b *Batch) Release() { batches.Put(b) }
