// Package verifier computes the content of answers and readings, so that a caller can verify what it receives without
// asking the backend server that sent it.
package verifier

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxPartSize is the largest answer part in bytes.
	MaxPartSize = 1000
	// readingSize is the length of a reading in bytes.
	readingSize = 64
	// DefaultReadingInterval is the time between two readings of a topic.
	DefaultReadingInterval = 100 * time.Millisecond
)

// FormatCallID returns the text form of a call id.
func FormatCallID(call [16]byte) string { return hex.EncodeToString(call[:]) }

// PartCount returns how many parts the answer to a call has, between 1 and most. A payload such as "key;parts=7" sets it.
func PartCount(call [16]byte, payload []byte, most int) int {
	if n, err := strconv.Atoi(Option(payload, "parts")); err == nil && n > 0 {
		return n
	}
	if most <= 1 {
		return 1
	}
	return 1 + int(sum("parts", FormatCallID(call))%uint64(most))
}

// Key returns the key of a payload: the text before the first semicolon.
func Key(payload []byte) string {
	key, _, _ := strings.Cut(string(payload), ";")
	return key
}

// Option returns the value of an option in a payload of the form "key;name=value;name=value".
func Option(payload []byte, name string) string {
	for _, field := range strings.Split(string(payload), ";")[1:] {
		if k, v, ok := strings.Cut(field, "="); ok && k == name {
			return v
		}
	}
	return ""
}

// ServiceOf returns the service that a key or topic of the form "service/rest" names, or "".
func ServiceOf(key string) string {
	service, _, ok := strings.Cut(key, "/")
	if !ok {
		return ""
	}
	return service
}

// Part returns part number n of the answer of service to a call.
func Part(service string, call [16]byte, n int) []byte {
	head := fmt.Sprintf("%s|%s|%d|", service, FormatCallID(call), n)
	size := 200 + int(sum("size", head)%uint64(MaxPartSize-200+1))
	return fill(head, size)
}

// Answer returns the whole answer of service to a call in the given number of parts.
func Answer(service string, call [16]byte, parts int) []byte {
	var b bytes.Buffer
	for n := range parts {
		b.Write(Part(service, call, n))
	}
	return b.Bytes()
}

// Reading returns the content of one reading.
func Reading(service, topic string, number uint64) []byte {
	return fill(fmt.Sprintf("%s|%s|%d|", service, topic, number), readingSize)
}

// ReadingNumber returns the number of the newest reading at a time.
func ReadingNumber(now time.Time, period time.Duration) uint64 {
	return uint64(now.UnixMilli() / period.Milliseconds())
}

func fill(head string, size int) []byte {
	b := append(make([]byte, 0, size+len(head)), head...)
	source := rand.New(rand.NewPCG(sum("fill", head), 0))
	for len(b) < size {
		b = append(b, byte('a'+source.IntN(26)))
	}
	return b
}

func sum(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
