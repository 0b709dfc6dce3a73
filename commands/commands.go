// Package commands holds the command line: one file for each command, which
// registers itself.
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
	ExitOK             = 0
	ExitFailed         = 1
	ExitBadInput       = 2
	ExitConflict       = 3
	ExitUnavailable    = 4
	ExitOutcomeUnknown = 5
)

var registered []*cli.Command

func register(c *cli.Command) {
	registered = append(registered, c)
}

// Run runs the program and returns its exit code.
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
		fmt.Fprintln(os.Stderr, text(err))
	}
	return exitCode(err)
}

// text returns what the user reads of an error, without the stack that eris
// keeps.
func text(err error) string {
	var l finding.List
	if errors.As(err, &l) {
		return l.Error()
	}
	return "gentiangauge: " + err.Error()
}

var errUsage = eris.New("the command line is wrong")

func exitCode(err error) int {
	var l finding.List
	var raced *catalog.ConflictError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &l), errors.Is(err, errUsage):
		return ExitBadInput
	case errors.As(err, &raced), errors.Is(err, provider.ErrConflict):
		return ExitConflict
	case errors.Is(err, catalog.ErrOutcomeUnknown), errors.Is(err, errNotInForce):
		return ExitOutcomeUnknown
	case errors.Is(err, provider.ErrUnavailable), errors.Is(err, errNoInstance):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

func usage(format string, args ...any) error {
	return eris.Wrapf(errUsage, format, args...)
}

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
		return usage("--output must be text or json, not %q", v)
	}
	return nil
}

func openTable(k *cli.Command) (*provider.Table, *provider.Objects) {
	table := k.String("table")
	objects := k.String("objects")
	if objects == "" {
		objects = table
	}
	return provider.NewTable(table, platformTimeout), provider.NewObjects(objects, platformTimeout)
}

// show writes v as JSON or the lines as text.
func show(k *cli.Command, v any, lines func(w io.Writer)) error {
	if k.String("output") == "json" {
		e := json.NewEncoder(k.Root().Writer)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	lines(k.Root().Writer)
	return nil
}
