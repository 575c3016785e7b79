package fetcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
)

func ExampleFetcher_GetDocument() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "7" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("X-Revision", "7")
		fmt.Fprint(w, "content")
	}))
	defer server.Close()
	f, err := fetcher.New(fetcher.Config{URL: server.URL})
	if err != nil {
		fmt.Println(err)
		return
	}
	d, err := f.GetDocument(context.Background(), "settings", 0, 0)
	fmt.Println(d.Revision, string(d.Content), err)
	_, err = f.GetDocument(context.Background(), "settings", 7, time.Second)
	fmt.Println(fetcher.IsErrNotModified(err))
	// Output:
	// 7 content <nil>
	// true
}

// TestErrors guards against responses that are accepted as a document although they contain none, or not all of it.
func TestErrors(t *testing.T) {
	g := NewWithT(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/documents/missing":
			w.WriteHeader(http.StatusNotFound)
		case "/v1/documents/busy":
			w.WriteHeader(http.StatusTooManyRequests)
		case "/v1/documents/bare":
			fmt.Fprint(w, "no revision")
		case "/v1/documents/cut":
			w.Header().Set("X-Revision", "3")
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "half of it")
		case "/v1/documents/slow":
			select {
			case <-r.Context().Done():
			case <-time.After(5 * time.Second):
			}
		default:
			w.Header().Set("X-Revision", "3")
			w.Write(make([]byte, 2000))
		}
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	f, err := fetcher.New(fetcher.Config{URL: server.URL, Timeout: 200 * time.Millisecond, MaxBytes: 1000})
	g.Expect(err).NotTo(HaveOccurred())
	for name, isExpected := range map[string]func(error) bool{
		"missing": fetcher.IsErrNotFound, "busy": fetcher.IsErrUnavailable, "bare": fetcher.IsErrMalformed,
		"cut": fetcher.IsErrUnavailable, "slow": fetcher.IsErrUnavailable, "large": fetcher.IsErrOversized,
	} {
		started := time.Now()
		_, err := f.GetDocument(context.Background(), name, 0, 100*time.Millisecond)
		g.Expect(isExpected(err)).To(BeTrue(), "%s: %v", name, err)
		g.Expect(time.Since(started)).To(BeNumerically("<", time.Second), name)
	}
	_, err = fetcher.New(fetcher.Config{URL: "platform"})
	g.Expect(err).To(HaveOccurred())
}

// TestBackoff guards against delays that are too short or exceed the maximum.
func TestBackoff(t *testing.T) {
	g := NewWithT(t)
	b := fetcher.Backoff{Min: time.Second, Max: 10 * time.Second, Random: rand.New(rand.NewPCG(1, 1))}
	for i := range 100 {
		maxDelay := min(time.Second<<min(i, 10), 10*time.Second)
		g.Expect(b.Next()).To(And(BeNumerically(">=", maxDelay/2), BeNumerically("<=", maxDelay)))
	}
	b.Reset()
	g.Expect(b.Next()).To(BeNumerically("<=", time.Second))
}

// serveRaw accepts connections and writes the response, as it is, to the first request of each. It returns the URL.
func serveRaw(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		}
	})
	return "http://" + listener.Addr().String()
}

// TestBrokenOffResponse guards against a response that breaks off halfway and is taken for a complete document.
func TestBrokenOffResponse(t *testing.T) {
	for name, response := range map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nX-Revision: 3\r\nContent-Length: 20\r\n\r\nhalf",
		"without the last chunk":  "HTTP/1.1 200 OK\r\nX-Revision: 3\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"without a length":        "HTTP/1.1 200 OK\r\nX-Revision: 3\r\n\r\nhalf",
		"of HTTP/1.0, not framed": "HTTP/1.0 200 OK\r\nX-Revision: 3\r\n\r\nhalf",
	} {
		f, err := fetcher.New(fetcher.Config{URL: serveRaw(t, response)})
		if err != nil {
			t.Fatal(err)
		}
		if d, err := f.GetDocument(t.Context(), "settings", 0, 0); err == nil {
			t.Errorf("%s: revision %d with content %q", name, d.Revision, d.Content)
		}
	}
}
