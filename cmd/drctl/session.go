package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

const (
	// callAttempts limits the calls to one server when responses are lost.
	callAttempts      = 3
	callRetryInterval = 200 * time.Millisecond
)

// session holds the flags, output streams and API clients of one command.
type session struct {
	cli     *cli
	ctx     context.Context
	stdout  io.Writer
	stderr  io.Writer
	clients []*operator.Client
}

// createClients creates the API clients unless they exist.
func (s *session) createClients() error {
	if s.clients != nil {
		return nil
	}
	if len(s.cli.Server) == 0 {
		return errors.Wrap(errUsage, "--server is needed")
	}
	token, err := s.token()
	if err != nil {
		return err
	}
	for _, base := range s.cli.Server {
		c, err := operator.NewClient(operator.ClientConfig{
			BaseURL: base,
			Token:   token,
			Timeout: s.cli.Timeout,
			CAFile:  s.cli.CAFile,
		})
		if err != nil {
			return errors.Wrapf(errUsage, "--server or --token-file (%v)", err)
		}
		s.clients = append(s.clients, c)
	}
	return nil
}

func (s *session) token() (string, error) {
	if s.cli.TokenFile == "" {
		return "", errors.Wrap(errUsage, "--token-file is needed")
	}
	data, err := os.ReadFile(s.cli.TokenFile)
	if err != nil {
		return "", errors.Wrapf(errUsage, "--token-file (%v)", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// call calls the first server, and the next one only after a refused connection.
// After a lost response it calls the same server again, which is safe for changes
// because f keeps the change id.
func call[T any](s *session, f func(ctx context.Context, c *operator.Client) (T, error)) (T, error) {
	var out T
	err := s.createClients()
	if err != nil {
		return out, err
	}
	lost := false
	for _, c := range s.clients {
		out, err = callServer(s, c, f)
		if !errors.Is(err, operator.ErrNotSent) {
			return out, err
		}
		lost = lost || errors.Is(err, operator.ErrNoResponse)
	}
	if lost {
		return out, errors.Wrapf(operator.ErrNoResponse, "no further server to try (%v)", err)
	}
	return out, err
}

func callServer[T any](s *session, c *operator.Client, f func(ctx context.Context, c *operator.Client) (T, error)) (T, error) {
	var lost error
	for attempt := 1; ; attempt++ {
		out, err := f(s.ctx, c)
		switch {
		case errors.Is(err, operator.ErrNotSent) && lost != nil:
			// Both errors matter to the caller: another server may be tried, and
			// the earlier request may have been handled.
			return out, errors.Join(err, lost)
		case !responseLost(err) || attempt == callAttempts:
			return out, err
		}
		lost = errors.Wrapf(operator.ErrNoResponse, "(%v)", err)
		if s.sleep(callRetryInterval) != nil {
			return out, lost
		}
	}
}

// responseLost reports whether the request may have been handled although its
// outcome is unknown here.
func responseLost(err error) bool {
	var api *operator.Error
	if errors.As(err, &api) {
		return api.Code == operator.CodeUnknownOutcome
	}
	return errors.Is(err, operator.ErrNoResponse)
}

func (s *session) sleep(d time.Duration) error {
	return wait.Sleep(s.ctx, d)
}

func (s *session) document() (*config.Document, error) {
	return call(s, func(ctx context.Context, c *operator.Client) (*config.Document, error) {
		return c.Document(ctx)
	})
}

// newChange returns the id, author and time of the change of this command.
func (s *session) newChange() config.Change {
	id := s.cli.ChangeID
	if id == "" {
		id = uuid.Must(uuid.NewV7()).String()
	}
	return config.Change{ID: id, Author: s.cli.Author, At: time.Now().UTC()}
}

// submit sends a change, with the same change id on every attempt.
func (s *session) submit(op config.Operation) (*config.Document, error) {
	ch := s.newChange()
	doc, err := call(s, func(ctx context.Context, c *operator.Client) (*config.Document, error) {
		return c.SubmitChange(ctx, ch, op)
	})
	if responseLost(err) {
		return nil, errors.Wrapf(err, "the change may have been made; run the command again with --change-id %s", ch.ID)
	}
	return doc, err
}

// changeResult is the output of a command that makes a change.
type changeResult struct {
	Object   string `json:"object"`
	ChangeID string `json:"change_id"`
	Version  uint64 `json:"version"`
}

// submitAndPrint submits an operation and prints its result.
func (s *session) submitAndPrint(op config.Operation) error {
	doc, err := s.submit(op)
	if err != nil {
		return err
	}
	r := changeResult{Object: op.Object(), ChangeID: doc.Change.ID, Version: doc.Version}
	return s.emit(r, func(w io.Writer) {
		row(w, "accepted", r.Object, fmt.Sprintf("version %d", r.Version), "change "+r.ChangeID)
	})
}

// emit prints a value as JSON, or calls text to print aligned columns.
func (s *session) emit(v any, text func(w io.Writer)) error {
	if s.cli.Output == "json" {
		enc := json.NewEncoder(s.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// row prints one line of a table. Write errors are returned when the table is
// flushed.
func row(w io.Writer, columns ...any) {
	parts := make([]string, 0, len(columns))
	for _, c := range columns {
		parts = append(parts, fmt.Sprint(c))
	}
	_, _ = fmt.Fprintln(w, strings.Join(parts, "\t"))
}

// failure is the JSON form of an error.
type failure struct {
	Error    string                `json:"error"`
	Exit     int                   `json:"exit_code"`
	Findings []findings.Finding    `json:"findings,omitempty"`
	Conflict *config.ConflictError `json:"conflict,omitempty"`
	// Claim tells why a claim was not resolved.
	Claim *operator.ClaimConflict `json:"claim,omitempty"`
}

func (s *session) printError(err error) {
	f := failure{Error: err.Error(), Exit: exitCode(err)}
	var invalid *findings.Error
	if errors.As(err, &invalid) {
		f.Findings = invalid.Findings
	}
	var api *operator.Error
	if errors.As(err, &api) {
		f.Findings = api.Findings
		f.Claim = api.Claim
	}
	errors.As(err, &f.Conflict)
	if s.cli.Output == "json" {
		enc := json.NewEncoder(s.stderr)
		enc.SetIndent("", "  ")
		_ = enc.Encode(f)
		return
	}
	if invalid != nil {
		_, _ = fmt.Fprintln(s.stderr, invalid.Error())
		return
	}
	_, _ = fmt.Fprintln(s.stderr, "drctl:", err)
}
