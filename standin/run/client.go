package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
)

// announcement is an entry of the platform's directory.
type announcement struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Mesh    string `json:"mesh"`
	State   string `json:"state"`
}

func clientCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "announce", Usage: "set an entry of the platform's list", Action: announce, Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Required: true},
			&cli.StringFlag{Name: "id", Required: true},
			&cli.StringFlag{Name: "kind"},
			&cli.StringFlag{Name: "pool"},
			&cli.StringFlag{Name: "zone"},
			&cli.StringFlag{Name: "address"},
			&cli.StringFlag{Name: "mesh"},
			&cli.StringFlag{Name: "state", Value: "live"},
		}},
		{Name: "request", ArgsUsage: "METHOD URL [BODY]", Usage: "send one HTTP request and print the answer", Action: request, Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "header"},
			&cli.BoolFlag{Name: "body-only"},
		}},
	}
}

// announce adds, replaces or removes an entry of the platform's directory.
func announce(c context.Context, k *cli.Command) error {
	b, err := json.Marshal(announcement{
		ID: k.String("id"), Kind: k.String("kind"), Pool: k.String("pool"), Zone: k.String("zone"),
		Address: k.String("address"), Mesh: k.String("mesh"), State: k.String("state"),
	})
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+k.String("platform")+"/directory/instances", bytes.NewReader(b))
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return a.Body.Close()
}

// request sends an HTTP request and prints its status, selected headers and body.
func request(c context.Context, k *cli.Command) error {
	r, err := http.NewRequestWithContext(c, k.Args().Get(0), k.Args().Get(1), strings.NewReader(k.Args().Get(2)))
	if err != nil {
		return err
	}
	for _, h := range k.StringSlice("header") {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if !k.Bool("body-only") {
		fmt.Printf("status %d\n", a.StatusCode)
		for _, name := range []string{"X-Request-Id", "Retry-After", "Idempotent-Replayed", "Gentiangauge-Run"} {
			if v := a.Header.Get(name); v != "" {
				fmt.Printf("%s: %s\n", name, v)
			}
		}
	}
	_, err = io.Copy(os.Stdout, a.Body)
	return err
}
