// Package verifier computes the content of answers and readings from their names and numbers, so that a caller can verify
// what it receives without asking the backend server that sent it.
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

// FormatCallID returns the hexadecimal form of a call id.
func FormatCallID(call [16]byte) string { return hex.EncodeToString(call[:]) }

// PartCount returns how many parts the answer to a call has: the number that a payload such as "key;parts=7" sets, or else one
// between 1 and maxParts that depends on the call id only.
func PartCount(call [16]byte, payload []byte, maxParts int) int {
	if n, err := strconv.Atoi(Option(payload, "parts")); err == nil && n > 0 {
		return n
	}
	if maxParts <= 1 {
		return 1
	}
	return 1 + int(hashStrings("parts", FormatCallID(call))%uint64(maxParts))
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

// Part returns one part of the answer of service to a call. Parts are numbered from 0.
func Part(service string, call [16]byte, number int) []byte {
	prefix := fmt.Sprintf("%s|%s|%d|", service, FormatCallID(call), number)
	size := 200 + int(hashStrings("size", prefix)%uint64(MaxPartSize-200+1))
	return padWithLetters(prefix, size)
}

// Answer returns the whole answer of service to a call in the given number of parts.
func Answer(service string, call [16]byte, parts int) []byte {
	var b bytes.Buffer
	for number := range parts {
		b.Write(Part(service, call, number))
	}
	return b.Bytes()
}

// Reading returns the content of the reading with a number.
func Reading(service, topic string, number uint64) []byte {
	return padWithLetters(fmt.Sprintf("%s|%s|%d|", service, topic, number), readingSize)
}

// ReadingNumber returns the number of the newest reading at a time. Readings are numbered by the intervals since the Unix epoch.
func ReadingNumber(now time.Time, interval time.Duration) uint64 {
	return uint64(now.UnixMilli() / interval.Milliseconds())
}

// padWithLetters appends pseudorandom letters to the prefix, which is their seed, up to size bytes.
func padWithLetters(prefix string, size int) []byte {
	b := append(make([]byte, 0, size+len(prefix)), prefix...)
	source := rand.New(rand.NewPCG(hashStrings("fill", prefix), 0))
	for len(b) < size {
		b = append(b, byte('a'+source.IntN(26)))
	}
	return b
}

// hashStrings returns the FNV-1a hash of the strings, each with a zero byte after it.
func hashStrings(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
