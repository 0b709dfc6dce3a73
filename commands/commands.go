// Package commands implements the command-line interface. Each command has a file of
// its own and registers itself in init.
package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"gentiangauge.example/gentiangauge/coordination/catalog"
	"gentiangauge.example/gentiangauge/finding"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailed is the code of all errors that have no code of their own.
	ExitFailed = 1
	// ExitBadInput means an invalid command line or findings in a file.
	ExitBadInput = 2
	// ExitConflict means that another operator changed the lists in between.
	ExitConflict = 3
	// ExitUnavailable means that the platform, or every instance, was unreachable.
	ExitUnavailable = 4
	// ExitOutcomeUnknown means that a change may or may not have been accepted, or is not
	// confirmed to be in force everywhere.
	ExitOutcomeUnknown = 5
)

var registered []*cli.Command

func register(c *cli.Command) {
	registered = append(registered, c)
}

// Run parses args, runs the selected command, prints its error to stderr and returns
// the exit code of the process.
func Run(c context.Context, args []string) int {
	slices.SortFunc(registered, func(a, b *cli.Command) int { return strings.Compare(a.Name, b.Name) })
	app := &cli.Command{
		Name:                  "gentiangauge",
		Usage:                 "serve very many LoRA adapters to many workspaces",
		Commands:              registered,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	err := app.Run(c, args)
	if err != nil {
		fmt.Fprintln(os.Stderr, errorText(err))
	}
	return exitCode(err)
}

// errorText formats an error for the user, without the stack trace that eris records.
// Findings about a file are printed as they are, one a line.
func errorText(err error) string {
	var l finding.List
	if errors.As(err, &l) {
		return l.Error()
	}
	return "gentiangauge: " + err.Error()
}

var errUsage = eris.New("invalid command line")

// exitCode maps the error of a command to the exit code of the process.
func exitCode(err error) int {
	var l finding.List
	var conflict *catalog.ConflictError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &l), errors.Is(err, errUsage):
		return ExitBadInput
	case errors.As(err, &conflict), errors.Is(err, provider.ErrConflict):
		return ExitConflict
	case errors.Is(err, catalog.ErrOutcomeUnknown), errors.Is(err, errNotInForce):
		return ExitOutcomeUnknown
	case errors.Is(err, provider.ErrUnavailable), errors.Is(err, errNoInstanceReachable):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

// usageError returns an error for which the program exits with ExitBadInput.
func usageError(format string, args ...any) error {
	return eris.Wrapf(errUsage, format, args...)
}

// platformTimeout limits each call to the table service and the object store.
const platformTimeout = 3 * time.Second

var (
	tableFlag = &cli.StringFlag{
		Name: "table", Usage: "IP number and port of the table service", Sources: cli.EnvVars("GENTIANGAUGE_TABLE"), Required: true,
	}
	objectsFlag = &cli.StringFlag{
		Name: "objects", Usage: "IP number and port of the object store; default: that of the table", Sources: cli.EnvVars("GENTIANGAUGE_OBJECTS"),
	}
	outputFlag = &cli.StringFlag{Name: "output", Value: "text", Usage: "text or json", Validator: checkOutput}
)

func checkOutput(v string) error {
	if v != "text" && v != "json" {
		return usageError("--output must be text or json, not %q", v)
	}
	return nil
}

// openTable returns clients of the table service and of the object store. Without
// --objects both use the address of the table service.
func openTable(k *cli.Command) (*provider.Table, *provider.Objects) {
	table := k.String("table")
	objects := k.String("objects")
	if objects == "" {
		objects = table
	}
	return provider.NewTable(table, platformTimeout), provider.NewObjects(objects, platformTimeout)
}

// writeOutput writes v as JSON with --output json; otherwise lines writes the text form.
func writeOutput(k *cli.Command, v any, lines func(w io.Writer)) error {
	if k.String("output") == "json" {
		e := json.NewEncoder(k.Root().Writer)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	lines(k.Root().Writer)
	return nil
}
