// Package fetcher is an HTTP client of the platform's configuration service. It provides conditional reads, long polls,
// timeouts and jittered backoff. It only reads and never writes to the platform.
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

	"github.com/bluebelldyke/bluebelldyke/modules/qualifier"
)

const (
	// DefaultTimeout is how long a request may take in addition to its long-poll wait. The platform answers in milliseconds.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxBytes is the size limit of a response body. The platform stores values of up to 1 MB.
	DefaultMaxBytes = 1 << 20
	// revisionHeader is the response header with the revision of the document in the body.
	revisionHeader = "X-Revision"
	// eraHeader is the response header that counts how often the platform's store was restored from an older copy.
	eraHeader = "Store-Era"
)

// Errors returned by GetDocument and GetPath.
var (
	ErrNotModified = eris.New("document has not changed: keep using the current revision")
	ErrNotFound    = eris.New("document does not exist on the platform: create it or check the platform URL")
	ErrUnavailable = eris.New("platform is unavailable: keep using the current revision and try again later")
	ErrMalformed   = eris.New("platform response is invalid: check that the platform URL is that of the configuration service")
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
	// Revision is qualified by the era of the platform's store, see qualifier.Qualify.
	Revision uint64
	Content  []byte
}

// Config configures a Fetcher.
type Config struct {
	// URL is the base URL of the platform, for example http://127.0.0.1:8400.
	URL string
	// Timeout is how long a request may take in addition to its long-poll wait; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxBytes is the size limit of a response body; 0 means DefaultMaxBytes.
	MaxBytes int64
	// Transport sends the HTTP requests; nil means a transport with keep-alive connections.
	Transport http.RoundTripper
}

// Fetcher is a client of the platform. It is safe for concurrent use.
type Fetcher struct {
	baseURL  *url.URL
	timeout  time.Duration
	maxBytes int64
	client   *http.Client
}

// New returns a Fetcher for the platform at c.URL.
func New(c Config) (*Fetcher, error) {
	baseURL, err := url.Parse(c.URL)
	if err != nil || (baseURL.Scheme != "http" && baseURL.Scheme != "https") || baseURL.Host == "" {
		return nil, eris.Errorf("platform URL %q is not an absolute http(s) URL: set platform.url", c.URL)
	}
	f := &Fetcher{baseURL: baseURL, timeout: c.Timeout, maxBytes: c.MaxBytes}
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

// GetDocument reads the named document. If its current qualified revision is knownRevision, it returns ErrNotModified. With wait > 0
// this is a long poll: the platform then first waits, for wait at most, until the revision changes.
func (f *Fetcher) GetDocument(ctx context.Context, name string, knownRevision uint64, wait time.Duration) (Document, error) {
	knownEra, after := qualifier.Split(knownRevision)
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	response, err := f.GetPath(ctx, "/v1/documents/"+url.PathEscape(name), query, wait)
	if err != nil {
		return Document{}, err
	}
	era, err := parseEra(response.Header)
	if err != nil {
		return Document{}, err
	}
	switch response.Status {
	case http.StatusOK:
		revision, err := strconv.ParseUint(strings.TrimSpace(response.Header.Get(revisionHeader)), 10, 64)
		if err != nil || revision == 0 {
			return Document{}, eris.Wrapf(ErrMalformed, "%s is %q", revisionHeader, response.Header.Get(revisionHeader))
		}
		qualified, err := qualifier.Qualify(era, revision)
		if err != nil {
			return Document{}, eris.Wrapf(ErrMalformed, "%v", err)
		}
		return Document{Revision: qualified, Content: response.Body}, nil
	case http.StatusNotModified:
		if after != 0 && era != knownEra { // a restored store has given the revision out again
			return f.GetDocument(ctx, name, 0, 0)
		}
		return Document{}, ErrNotModified
	case http.StatusNotFound:
		return Document{}, ErrNotFound
	default:
		return Document{}, eris.Wrapf(ErrUnavailable, "status %d", response.Status)
	}
}

// parseEra returns the era of a response, at least 1.
func parseEra(h http.Header) (uint64, error) {
	text := h.Get(eraHeader)
	if text == "" {
		return 1, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrMalformed, "%s is %q", eraHeader, text)
	}
	return max(era, 1), nil
}

// Response is the platform's response to one request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// GetPath sends a GET request for path, relative to the base URL. The timeout is that of the Fetcher plus wait. Responses of
// every status are returned without an error. The error is ErrOversized when the body exceeds the size limit, ErrMalformed when
// the response does not tell where it ends, and ErrUnavailable when there is no complete response.
func (f *Fetcher) GetPath(ctx context.Context, path string, query url.Values, wait time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout+max(wait, 0))
	defer cancel()
	u := f.baseURL.JoinPath(path)
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
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 { // its end cannot be told from a connection that broke
		return Response{}, eris.Wrapf(ErrMalformed, "response to %s has neither a length nor chunks", path)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, f.maxBytes+1))
	if err != nil {
		return Response{}, eris.Wrapf(ErrUnavailable, "body of %s: %v", path, err)
	}
	if int64(len(content)) > f.maxBytes {
		return Response{}, eris.Wrapf(ErrOversized, "%s has more than %d bytes", path, f.maxBytes)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (f *Fetcher) CloseIdleConnections() { f.client.CloseIdleConnections() }

// Backoff computes delays before retries, exponential and with jitter, so that many daemons do not all retry at the same
// time when the platform recovers. It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration
	Random   *rand.Rand

	failures int
}

// Next returns the delay before the next retry, after n earlier ones: uniform between half and all of min(Min·2ⁿ, Max).
func (b *Backoff) Next() time.Duration {
	maxDelay := b.Max
	if b.failures < 30 && b.Min<<b.failures < b.Max { // a larger shift could overflow
		maxDelay = b.Min << b.failures
	}
	b.failures++
	minDelay := maxDelay / 2
	return minDelay + time.Duration(b.Random.Int64N(int64(minDelay)+1))
}

// Reset makes the delays start at Min again. It is called after a success.
func (b *Backoff) Reset() { b.failures = 0 }
