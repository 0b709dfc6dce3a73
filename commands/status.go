package commands

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/coordination/lease"
)

var errNoInstanceReachable = eris.New("no instance is reachable")

var operatorsFlag = &cli.StringFlag{
	Name: "operators", Usage: "operator addresses of instances, separated by commas; default: the roster in the table",
	Sources: cli.EnvVars("GENTIANGAUGE_OPERATORS"),
}

var optionalTableFlag = &cli.StringFlag{Name: "table", Usage: "IP number and port of the table service", Sources: cli.EnvVars("GENTIANGAUGE_TABLE")}

func init() {
	register(&cli.Command{
		Name:   "status",
		Usage:  "show the state of every instance",
		Flags:  []cli.Flag{optionalTableFlag, operatorsFlag, outputFlag},
		Action: showStatus,
	})
}

// findMembers returns the instances to query: those of --operators, or else the members
// of the roster in the table.
func findMembers(c context.Context, k *cli.Command) (lease.Roster, error) {
	if operators := k.String("operators"); operators != "" {
		var r lease.Roster
		for _, a := range strings.Split(operators, ",") {
			r.Members = append(r.Members, lease.Member{Instance: a, Operator: strings.TrimSpace(a)})
		}
		return r, nil
	}
	if k.String("table") == "" {
		return lease.Roster{}, usageError("--table or --operators must be set")
	}
	table, _ := openTable(k)
	r, _, err := fleet.ReadRoster(c, table)
	return r, err
}

// showStatus prints the status of every instance. It fails if no instance is reachable.
func showStatus(c context.Context, k *cli.Command) error {
	r, err := findMembers(c, k)
	if err != nil {
		return err
	}
	all := queryInstances(c, r)
	err = writeOutput(k, all, func(w io.Writer) {
		for _, s := range all {
			fmt.Fprintln(w, statusLine(s))
		}
	})
	if err != nil {
		return err
	}
	for _, s := range all {
		if s.Reachable {
			return nil
		}
	}
	return errNoInstanceReachable
}

func statusLine(s instanceStatus) string {
	if !s.Reachable {
		return fmt.Sprintf("%s zone=%s no-answer", s.Name, s.Zone)
	}
	line := fmt.Sprintf("%s zone=%s version=%d epoch=%d members=%d running=%d", s.Name, s.Zone, s.ListsVersion, s.Epoch, s.Members, s.Running)
	if !s.Serving {
		line += " not-serving"
	}
	if len(s.Silent) > 0 {
		line += " silent=" + strings.Join(s.Silent, ",")
	}
	return line
}
