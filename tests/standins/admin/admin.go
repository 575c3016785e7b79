// Package admin holds the admin API between the test harness and the stand-in processes: the JSON types, an HTTP server and
// a client.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	// clientTimeout bounds one admin call, so that a paused process fails a test with an error.
	clientTimeout = 10 * time.Second
	// shutdownTimeout bounds the wait for requests in progress when a process stops.
	shutdownTimeout = 200 * time.Millisecond
)

var client = &http.Client{Timeout: clientTimeout}

// Duration is a time.Duration that JSON holds as text such as "250ms".
type Duration time.Duration

// MarshalText returns the text form of d.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the text form of d.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Serve serves handler at address until ctx ends.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	return ServeListener(ctx, l, &http.Server{Handler: handler})
}

// ServeListener serves s at l until ctx ends.
func ServeListener(ctx context.Context, l net.Listener, s *http.Server) error {
	s.BaseContext = func(net.Listener) context.Context { return ctx }
	var g errgroup.Group
	stopped := make(chan struct{})
	g.Go(func() error {
		defer close(stopped)
		if err := s.Serve(l); !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve HTTP")
		}
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-stopped:
		}
		end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if s.Shutdown(end) != nil {
			return s.Close()
		}
		return nil
	})
	return g.Wait()
}

// HandlePost returns a handler that decodes the JSON body into a T and passes it to apply.
func HandlePost[T any](apply func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&v); err != nil && !eris.Is(err, io.EOF) {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := apply(v); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	}
}

// HandleGet returns a handler that answers with the JSON form of what read returns.
func HandleGet[T any](read func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(read())
	}
}

// Post sends v as JSON to path at address.
func Post(address netip.AddrPort, path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode the request")
	}
	_, err = Do(http.MethodPost, "http://"+address.String()+path, b)
	return err
}

// Get reads the JSON document at path into v.
func Get(address netip.AddrPort, path string, v any) error {
	b, err := Do(http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(b, v), "decode the answer")
}

// Do makes one HTTP call and returns the body. A status other than 200 is an error.
func Do(method, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create the request")
	}
	a, err := client.Do(r)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s", method, url)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s", method, url)
	}
	if a.StatusCode != http.StatusOK {
		return nil, eris.Errorf("%s %s: status %d: %s", method, url, a.StatusCode, bytes.TrimSpace(b))
	}
	return b, nil
}
