package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"gentiangauge.example/gentiangauge/coordination/catalog"
	"gentiangauge.example/gentiangauge/state/lists"
)

var (
	plansFlag = &cli.StringFlag{Name: "plans", Usage: "file with the plan of each workspace", Required: true}
	usesFlag  = &cli.StringFlag{Name: "uses", Usage: "file with what each plan may use", Required: true}
	waitFlag  = &cli.DurationFlag{Name: "wait", Value: 9 * time.Second, Usage: "how long to wait until the change is in force everywhere"}
)

func init() {
	register(&cli.Command{
		Name:  "lists",
		Usage: "check, compare, change and show the plans and what they may use",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check both lists", Flags: []cli.Flag{plansFlag, usesFlag}, Action: checkLists},
			{Name: "diff", Usage: "show what apply would change", Flags: []cli.Flag{plansFlag, usesFlag, tableFlag, objectsFlag, outputFlag}, Action: diffLists},
			{Name: "apply", Usage: "make both lists the ones in force", Flags: []cli.Flag{
				plansFlag, usesFlag, tableFlag, objectsFlag, outputFlag, waitFlag,
				&cli.IntFlag{Name: "base", Usage: "version that the lists were edited from; a newer one is not overwritten"},
			}, Action: applyLists},
			{Name: "show", Usage: "write the lists that were accepted last", Flags: []cli.Flag{
				tableFlag, objectsFlag, outputFlag,
				&cli.StringFlag{Name: "plans", Usage: "file to write the plans to"},
				&cli.StringFlag{Name: "uses", Usage: "file to write the uses to"},
			}, Action: showLists},
		},
	})
}

// readLists parses the files of --plans and --uses.
func readLists(k *cli.Command) (*lists.State, error) {
	plans, err := readFile(k.String("plans"))
	if err != nil {
		return nil, err
	}
	uses, err := readFile(k.String("uses"))
	if err != nil {
		return nil, err
	}
	return lists.Parse(plans, uses)
}

func readFile(name string) (lists.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return lists.File{}, usageError("read list: %v", err)
	}
	return lists.File{Name: name, Data: data}, nil
}

func checkLists(_ context.Context, k *cli.Command) error {
	s, err := readLists(k)
	if err != nil {
		return err
	}
	fmt.Fprintf(k.Root().Writer, "no findings: %d workspaces, %d plans\n", len(s.Workspaces), len(s.Plans))
	return nil
}

type changeOutput struct {
	Version int64    `json:"version"`
	Steps   []string `json:"steps"`
	InForce bool     `json:"in-force"`
}

func stepLines(steps []lists.Step) []string {
	out := make([]string, len(steps))
	for i, s := range steps {
		out[i] = s.String()
	}
	return out
}

func linePrinter(lines []string) func(io.Writer) {
	return func(w io.Writer) {
		for _, l := range lines {
			fmt.Fprintln(w, l)
		}
	}
}

// diffLists prints the steps that turn the accepted lists into those of the files.
func diffLists(c context.Context, k *cli.Command) error {
	want, err := readLists(k)
	if err != nil {
		return err
	}
	now, _, err := catalog.NewWriter(openTable(k)).Read(c)
	if err != nil {
		return err
	}
	m := changeOutput{Version: int64(now.Version), Steps: stepLines(now.Diff(want))}
	return writeOutput(k, m, linePrinter(append([]string{fmt.Sprintf("base version %d", now.Version)}, m.Steps...)))
}

// applyLists commits the steps that turn the accepted lists into those of the files. If
// the accepted version is no longer the base version, it fails with a ConflictError that
// holds the steps in between. Without --base, the base is the version read first, so that
// a retry of the commit does not overwrite a concurrent change.
func applyLists(c context.Context, k *cli.Command) error {
	want, err := readLists(k)
	if err != nil {
		return err
	}
	w := catalog.NewWriter(openTable(k))
	base := lists.Version(k.Int("base"))
	var steps []lists.Step
	v, err := w.Commit(c, func(now *lists.State) ([]lists.Step, error) {
		if base == 0 {
			base = now.Version
		}
		if now.Version != base {
			between, err := w.StepsSince(c, base)
			if err != nil {
				return nil, err
			}
			return nil, &catalog.ConflictError{Base: base, Current: now.Version, Steps: between}
		}
		steps = now.Diff(want)
		return steps, nil
	})
	if errors.Is(err, catalog.ErrNoChange) {
		err = nil
	}
	if err != nil {
		return err
	}
	return reportChange(c, k, changeOutput{Version: int64(v), Steps: stepLines(steps)})
}

// reportChange waits until the change is in force and prints it. It returns
// errNotInForce if the wait times out; the change is printed in any case.
func reportChange(c context.Context, k *cli.Command, m changeOutput) error {
	table, _ := openTable(k)
	waitErr := waitUntilInForce(c, table, lists.Version(m.Version), k.Duration("wait"))
	m.InForce = waitErr == nil
	lines := append([]string{fmt.Sprintf("version %d", m.Version)}, m.Steps...)
	if m.InForce {
		lines = append(lines, "in force everywhere")
	}
	if err := writeOutput(k, m, linePrinter(lines)); err != nil {
		return err
	}
	return waitErr
}

// showLists writes the accepted lists to the files of --plans and --uses, or to the
// standard output.
func showLists(c context.Context, k *cli.Command) error {
	s, _, err := catalog.NewWriter(openTable(k)).Read(c)
	if err != nil {
		return err
	}
	plans, uses := lists.FormatPlans(s), lists.FormatUses(s)
	for _, f := range []lists.File{{Name: k.String("plans"), Data: plans}, {Name: k.String("uses"), Data: uses}} {
		if f.Name == "" {
			fmt.Fprintln(k.Root().Writer, string(f.Data))
			continue
		}
		const permissions = 0o644
		if err := os.WriteFile(f.Name, f.Data, permissions); err != nil {
			return eris.Wrap(err, "write list")
		}
	}
	fmt.Fprintf(k.Root().Writer, "version %d\n", s.Version)
	return nil
}
