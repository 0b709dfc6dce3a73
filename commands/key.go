package commands

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"gentiangauge.example/gentiangauge/coordination/catalog"
	"gentiangauge.example/gentiangauge/protocol/caller"
	"gentiangauge.example/gentiangauge/state/lists"
)

const (
	keyBytes   = 20
	keyIDBytes = 6
)

func init() {
	flags := []cli.Flag{tableFlag, objectsFlag, outputFlag, waitFlag}
	register(&cli.Command{
		Name:  "key",
		Usage: "give, withdraw and list the keys of workspaces",
		Commands: []*cli.Command{
			{Name: "give", ArgsUsage: "WORKSPACE", Usage: "make a key for a workspace and show it once", Flags: flags, Action: createKey},
			{Name: "withdraw", ArgsUsage: "ID", Usage: "withdraw a key", Flags: flags, Action: revokeKey},
			{Name: "list", Usage: "list the keys without showing them", Flags: flags, Action: listKeys},
		},
	})
}

// randomHex returns n random bytes in hexadecimal.
func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

type createdKey struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Version   int64  `json:"version"`
	InForce   bool   `json:"in-force"`
}

// argument returns the only positional argument of a command; name is for the error.
func argument(k *cli.Command, name string) (string, error) {
	if k.Args().Len() != 1 {
		return "", usageError("the command takes one argument: %s", name)
	}
	return k.Args().First(), nil
}

// createKey commits a new key of a workspace and prints it. Only its hash is stored, so
// that it cannot be shown again.
func createKey(c context.Context, k *cli.Command) error {
	workspace, err := argument(k, "WORKSPACE")
	if err != nil {
		return err
	}
	key := caller.KeyPrefix + randomHex(keyBytes)
	step := lists.Step{Action: lists.AddKey, Key: lists.KeyID("key-" + randomHex(keyIDBytes)), Workspace: lists.WorkspaceID(workspace), Hash: lists.HashKey(key)}
	v, err := catalog.NewWriter(openTable(k)).Commit(c, func(s *lists.State) ([]lists.Step, error) {
		if _, ok := s.Workspaces[step.Workspace]; !ok {
			return nil, usageError("workspace %q is not in the list of plans", workspace)
		}
		return []lists.Step{step}, nil
	})
	if err != nil {
		return err
	}
	table, _ := openTable(k)
	waitErr := waitUntilInForce(c, table, v, k.Duration("wait"))
	m := createdKey{ID: string(step.Key), Workspace: workspace, Key: key, Version: int64(v), InForce: waitErr == nil}
	err = writeOutput(k, m, func(w io.Writer) {
		fmt.Fprintf(w, "id %s\nkey %s\nversion %d\n", m.ID, m.Key, m.Version)
	})
	if err != nil {
		return err
	}
	return waitErr
}

// revokeKey commits the revocation of a key. Revoking a key again changes nothing and
// succeeds.
func revokeKey(c context.Context, k *cli.Command) error {
	id, err := argument(k, "ID")
	if err != nil {
		return err
	}
	step := lists.Step{Action: lists.RevokeKey, Key: lists.KeyID(id)}
	v, err := catalog.NewWriter(openTable(k)).Commit(c, func(s *lists.State) ([]lists.Step, error) {
		key, ok := s.Keys[step.Key]
		switch {
		case !ok:
			return nil, usageError("unknown key %q", id)
		case key.Revoked:
			return nil, nil
		}
		return []lists.Step{step}, nil
	})
	if err != nil && v == 0 {
		return err
	}
	return reportChange(c, k, changeOutput{Version: int64(v), Steps: stepLines([]lists.Step{step})})
}

type keySummary struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Revoked   bool   `json:"withdrawn"`
}

func listKeys(c context.Context, k *cli.Command) error {
	s, _, err := catalog.NewWriter(openTable(k)).Read(c)
	if err != nil {
		return err
	}
	keys := []keySummary{}
	for _, id := range slices.Sorted(maps.Keys(s.Keys)) {
		x := s.Keys[id]
		keys = append(keys, keySummary{ID: string(x.ID), Workspace: string(x.Workspace), Revoked: x.Revoked})
	}
	return writeOutput(k, keys, func(w io.Writer) {
		for _, x := range keys {
			state := "given"
			if x.Revoked {
				state = "withdrawn"
			}
			fmt.Fprintf(w, "%s %s %s\n", x.ID, x.Workspace, state)
		}
	})
}
