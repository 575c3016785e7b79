package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/caller"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// Exit codes of call in addition to those of all subcommands.
const (
	exitNotRun  = 3
	exitUnknown = 4
)

const callExitCodes = "Exit codes: 0 answered, 1 failed, 2 usage or invalid input, 3 not run, 4 unknown whether it ran."

// callOptions holds the arguments of call.
type callOptions struct {
	kind, service, address, local, topic, payload string
	once, idempotent                              bool
	timeout                                       time.Duration
	count                                         int
	output                                        output
}

// outcomeError is the error for a request that was not answered.
type outcomeError struct{ result caller.Result }

func (e outcomeError) Error() string {
	text := fmt.Sprintf("%s: cause %s", e.result.Outcome, e.result.Cause)
	switch e.result.Outcome {
	case caller.NotRun:
		return text + ": the request did not run: it is safe to send it again"
	case caller.Unknown:
		return text + ": the request may have run: check its effect before sending it again"
	}
	return text + ": no answer arrived: send the request again or raise --timeout"
}

func (e outcomeError) exitCode() int {
	switch e.result.Outcome {
	case caller.NotRun:
		return exitNotRun
	case caller.Unknown:
		return exitUnknown
	}
	return exitFailure
}

func newCall() *command {
	o := &callOptions{timeout: defaultTimeout}
	flags := newSubcommand("call", "Send a request to a service, or print the readings of a feed.",
		`call request --service recipecard --address 127.0.53.2:7002 --idempotent --payload baguette`)
	flags.AdditionalHelpAppend = strings.Replace(flags.AdditionalHelpAppend, exitCodes, callExitCodes, 1)
	flags.AddPositionalValue(&o.kind, "KIND", 1, false, "feed or request. Required.")
	flags.String(&o.service, "s", "service", "Name of the service. Required.")
	flags.String(&o.address, "a", "address", "Address of the service. Required.")
	flags.String(&o.local, "l", "local", "Local address. Without it, the system chooses one.")
	flags.String(&o.topic, "", "topic", "Topic of the feed.")
	flags.Bool(&o.once, "", "once", "The request must not run twice (default).")
	flags.Bool(&o.idempotent, "", "idempotent", "The request may run twice.")
	flags.String(&o.payload, "p", "payload", "Payload of the request.")
	flags.Duration(&o.timeout, "t", "timeout", "Longest wait for the outcome, or for each reading.")
	flags.Int(&o.count, "n", "count", "Number of readings to print. With 0, until interrupted.")
	o.output.addFlags(flags)
	return &command{flags: flags, run: func(ctx context.Context, out io.Writer) error { return call(ctx, o, out) }}
}

func call(ctx context.Context, o *callOptions, out io.Writer) error {
	config, err := o.validate()
	if err != nil {
		return err
	}
	// An interrupt cancels the request, which then still waits for the gate to report whether it ran.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c, err := caller.New(config)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // the outcome is known already
	if o.kind == "feed" {
		return printFeed(ctx, c, o, out)
	}
	return printRequest(ctx, c, o, out)
}

// validate checks the options and returns the configuration of the caller.
func (o *callOptions) validate() (caller.Config, error) {
	config := caller.Config{Service: o.service, Timeout: o.timeout}
	if err := o.output.validate(); err != nil {
		return config, err
	}
	var err error
	if config.Address, err = netip.ParseAddrPort(o.address); err != nil {
		return config, usageError("--address %q is not an IP address with a port: use the address of the service, such as 127.0.53.2:7002", o.address)
	}
	if o.local != "" {
		if config.LocalAddr, err = netip.ParseAddrPort(o.local); err != nil {
			return config, usageError("--local %q is not an IP address with a port: use one such as 127.0.0.1:0", o.local)
		}
	}
	switch {
	case o.kind != "feed" && o.kind != "request":
		return config, usageError("KIND %q is not known: use feed or request", o.kind)
	case o.service == "":
		return config, usageError("no --service: name the service, such as recipecard")
	case o.timeout <= 0:
		return config, usageError("--timeout %s is not positive: use one such as %s", o.timeout, defaultTimeout)
	case o.count < 0:
		return config, usageError("--count %d is negative: use 0 or more", o.count)
	case o.once && o.idempotent:
		return config, usageError("--once and --idempotent exclude each other: use one of them")
	case o.kind == "feed" && o.topic == "":
		return config, usageError("no --topic: name the topic of the feed")
	case len(o.payload) > framer.MaxPayload:
		return config, usageError("--payload has %d bytes: use at most %d", len(o.payload), framer.MaxPayload)
	}
	return config, nil
}

// wireCall is the JSON form of the result of a request.
type wireCall struct {
	Outcome      string `json:"outcome"`
	Cause        string `json:"cause"`
	Call         string `json:"call"`
	Answer       string `json:"answer,omitempty"`
	AnswerBase64 []byte `json:"answer-base64,omitempty"` // replaces answer if that is not valid UTF-8
}

func printRequest(ctx context.Context, c *caller.Caller, o *callOptions, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	r, err := c.Request(ctx, []byte(o.payload), caller.RequestOptions{Idempotent: o.idempotent})
	if err != nil {
		return err
	}
	switch {
	case o.output == outputJSON:
		w := wireCall{Outcome: r.Outcome.String(), Cause: r.Cause.String(), Call: fmt.Sprintf("%x", r.CallID)}
		if utf8.Valid(r.Answer) {
			w.Answer = string(r.Answer)
		} else {
			w.AnswerBase64 = r.Answer
		}
		b, err := json.Marshal(w)
		if err := writeJSON(out, b, err); err != nil {
			return err
		}
	case r.Outcome == caller.Answered:
		if _, err := fmt.Fprintf(out, "%s\n", r.Answer); err != nil {
			return eris.Wrap(err, "write the output")
		}
	}
	if r.Outcome != caller.Answered {
		return outcomeError{r}
	}
	return nil
}

// wireReading is the JSON form of a reading.
type wireReading struct {
	Number  uint64 `json:"number"`
	Payload string `json:"payload"`
}

func printFeed(ctx context.Context, c *caller.Caller, o *callOptions, out io.Writer) error {
	f, err := c.OpenFeed(ctx, o.topic)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // if it fails, the service closes the feed by itself
	for n := 0; o.count == 0 || n < o.count; n++ {
		r, err := nextReading(ctx, f, o.timeout)
		switch {
		case err != nil && ctx.Err() != nil:
			return nil // interrupted
		case err != nil:
			return eris.Errorf("no reading within %s: check the topic or raise --timeout", o.timeout)
		case o.output == outputJSON:
			b, err := json.Marshal(wireReading{Number: r.Number, Payload: string(r.Payload)})
			if err := writeJSON(out, b, err); err != nil {
				return err
			}
		default:
			if _, err := fmt.Fprintf(out, "%d %s\n", r.Number, r.Payload); err != nil {
				return eris.Wrap(err, "write the output")
			}
		}
	}
	return nil
}

func nextReading(ctx context.Context, f *caller.Feed, timeout time.Duration) (caller.Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.Next(ctx)
}
