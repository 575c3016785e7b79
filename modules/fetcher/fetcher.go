// Package fetcher reads documents from the platform's configuration service over HTTP: conditional reads, long polls,
// time-outs and jittered back-off. It only reads; the platform is never written.
package fetcher

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DefaultTimeout bounds one call beyond the wait it asks for. The platform answers in milliseconds.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxBytes is the largest document accepted. The platform holds values up to 1 MB.
	DefaultMaxBytes = 1 << 20
	// revisionHeader carries the revision of the body.
	revisionHeader = "X-Revision"
)

// Errors of Get.
var (
	ErrNotModified = eris.New("document has not changed: keep the revision held")
	ErrNotFound    = eris.New("document does not exist on the platform: create it or check the platform URL")
	ErrUnavailable = eris.New("platform does not answer: keep the revision held and try again later")
	ErrMalformed   = eris.New("platform answer has no valid revision: check that the platform URL names the configuration service")
	ErrOversized   = eris.New("document is larger than the limit: split it or raise the limit")
)

// IsErrNotModified reports whether err is an ErrNotModified.
func IsErrNotModified(err error) bool { return eris.Is(err, ErrNotModified) }

// IsErrNotFound reports whether err is an ErrNotFound.
func IsErrNotFound(err error) bool { return eris.Is(err, ErrNotFound) }

// IsErrUnavailable reports whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool { return eris.Is(err, ErrUnavailable) }

// IsErrMalformed reports whether err is an ErrMalformed.
func IsErrMalformed(err error) bool { return eris.Is(err, ErrMalformed) }

// IsErrOversized reports whether err is an ErrOversized.
func IsErrOversized(err error) bool { return eris.Is(err, ErrOversized) }

// Document is one revision of a document.
type Document struct {
	Revision uint64
	Content  []byte
}

// Config holds what a Fetcher is made of.
type Config struct {
	// URL is the root of the platform, for example http://127.0.0.1:8400.
	URL string
	// Timeout bounds a call beyond its wait; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxBytes bounds a document; 0 means DefaultMaxBytes.
	MaxBytes int64
	// Transport replaces the HTTP transport; nil means one with keep-alive connections.
	Transport http.RoundTripper
}

// Fetcher is a client of the platform. It is safe for concurrent use.
type Fetcher struct {
	root     *url.URL
	timeout  time.Duration
	maxBytes int64
	client   *http.Client
}

// New returns a Fetcher for the platform of c.
func New(c Config) (*Fetcher, error) {
	root, err := url.Parse(c.URL)
	if err != nil || (root.Scheme != "http" && root.Scheme != "https") || root.Host == "" {
		return nil, eris.Errorf("platform URL %q is not an absolute http(s) URL: set platform.url", c.URL)
	}
	f := &Fetcher{root: root, timeout: c.Timeout, maxBytes: c.MaxBytes}
	if f.timeout <= 0 {
		f.timeout = DefaultTimeout
	}
	if f.maxBytes <= 0 {
		f.maxBytes = DefaultMaxBytes
	}
	transport := c.Transport
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second}
	}
	f.client = &http.Client{Transport: transport}
	return f, nil
}

// GetDocument reads the document name when its current revision is not after. With wait > 0 the platform holds the call until
// the revision changes or wait has passed. It returns ErrNotModified when nothing changed.
func (f *Fetcher) GetDocument(ctx context.Context, name string, after uint64, wait time.Duration) (Document, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	answer, err := f.GetPath(ctx, "/v1/documents/"+url.PathEscape(name), query, wait)
	if err != nil {
		return Document{}, err
	}
	switch answer.Status {
	case http.StatusOK:
		revision, err := strconv.ParseUint(strings.TrimSpace(answer.Header.Get(revisionHeader)), 10, 64)
		if err != nil || revision == 0 {
			return Document{}, eris.Wrapf(ErrMalformed, "%s is %q", revisionHeader, answer.Header.Get(revisionHeader))
		}
		return Document{Revision: revision, Content: answer.Body}, nil
	case http.StatusNotModified:
		return Document{}, ErrNotModified
	case http.StatusNotFound:
		return Document{}, ErrNotFound
	default:
		return Document{}, eris.Wrapf(ErrUnavailable, "status %d", answer.Status)
	}
}

// Response is the platform's answer to one call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// GetPath reads path, relative to the root of the platform. It takes the time-out of the Fetcher beyond wait. Every status is
// an answer; without one the error is ErrUnavailable, and ErrOversized when the body exceeds the limit.
func (f *Fetcher) GetPath(ctx context.Context, path string, query url.Values, wait time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout+max(wait, 0))
	defer cancel()
	u := f.root.JoinPath(path)
	u.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Response{}, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return Response{}, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, f.maxBytes+1))
	if err != nil {
		return Response{}, eris.Wrapf(ErrUnavailable, "body of %s: %v", path, err)
	}
	if int64(len(content)) > f.maxBytes {
		return Response{}, eris.Wrapf(ErrOversized, "%s has more than %d bytes", path, f.maxBytes)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}

// Backoff yields growing, jittered delays between failed calls, so that many daemons do not return to a recovering
// platform at the same moment. It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration
	Random   *rand.Rand

	failures int
}

// Next returns the delay before the next call: uniform between half and all of Min·2ⁿ, at most Max.
func (b *Backoff) Next() time.Duration {
	ceiling := b.Max
	if b.failures < 30 && b.Min<<b.failures < b.Max {
		ceiling = b.Min << b.failures
	}
	b.failures++
	half := ceiling / 2
	return half + time.Duration(b.Random.Int64N(int64(half)+1))
}

// Reset starts again at Min after a successful call.
func (b *Backoff) Reset() { b.failures = 0 }
