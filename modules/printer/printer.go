// Package printer writes to the standard streams of the process. Unlike os.Stdout and os.Stderr it does not end the process by SIGPIPE when
// nothing reads a stream any more: the write fails, and the process goes on.
package printer

import (
	"io"
	"syscall"

	"github.com/rotisserie/eris"
)

// Printer writes to a file descriptor.
type Printer struct{ fd int }

// The standard streams.
var (
	Stdout = Printer{syscall.Stdout}
	Stderr = Printer{syscall.Stderr}
)

// Write implements io.Writer.
func (p Printer) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, err := syscall.Write(p.fd, b[written:])
		if eris.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return written, eris.Wrap(err, "write to a standard stream")
		}
		if n <= 0 {
			return written, io.ErrShortWrite
		}
		written += n
	}
	return written, nil
}
