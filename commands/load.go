package commands

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"gopkg.in/ini.v1"

	"gentiangauge.example/gentiangauge/load"
	"gentiangauge.example/gentiangauge/state/lists"
)

func init() {
	preset := &cli.StringFlag{Name: "preset", Value: "wuerfelturm", Usage: "wuerfelturm or patos-del-lago"}
	register(&cli.Command{
		Name:  "load",
		Usage: "send the load of a model system to a fleet and report the measures",
		Flags: []cli.Flag{
			preset, outputFlag,
			&cli.StringFlag{Name: "fleet", Usage: "file with the addresses and keys of the fleet"},
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "seed of the schedule"},
			&cli.DurationFlag{Name: "warm-up", Value: 20 * time.Second, Usage: "first part of the run, which is not measured"},
			&cli.DurationFlag{Name: "span", Value: 60 * time.Second, Usage: "part of the run that is measured"},
			&cli.StringFlag{Name: "loud", Usage: "workspace that sends several times its load"},
			&cli.FloatFlag{Name: "factor", Value: 5, Usage: "how many times"},
			&cli.StringSliceFlag{Name: "mark", Usage: "a fault to draw, as TIME=NAME"},
			&cli.StringFlag{Name: "plot", Usage: "SVG file to draw to"},
		},
		Action: runLoad,
		Commands: []*cli.Command{{
			Name: "lists", Usage: "write the lists of a model system", Action: writePresetLists,
			Flags: []cli.Flag{preset, &cli.StringFlag{Name: "directory", Value: ".", Usage: "directory to write plans.ini and uses.ini to"}},
		}},
	})
}

// findPreset returns the preset that --preset names.
func findPreset(k *cli.Command) (load.Preset, error) {
	p, ok := load.Presets()[k.String("preset")]
	if !ok {
		return p, usageError("--preset must be wuerfelturm or patos-del-lago")
	}
	return p, nil
}

// writePresetLists writes plans.ini and uses.ini of a preset.
func writePresetLists(_ context.Context, k *cli.Command) error {
	p, err := findPreset(k)
	if err != nil {
		return err
	}
	s := p.Lists()
	const permissions = 0o644
	for name, data := range map[string][]byte{"plans.ini": lists.FormatPlans(s), "uses.ini": lists.FormatUses(s)} {
		if err := os.WriteFile(filepath.Join(k.String("directory"), name), data, permissions); err != nil {
			return eris.Wrap(err, "write list")
		}
	}
	return nil
}

// readFleet reads an INI file with the keys "addresses" in the sections [instances] and
// [engines], and one key for each workspace in the section [keys].
func readFleet(file string) (load.Fleet, error) {
	f, err := ini.Load(file)
	if err != nil {
		return load.Fleet{}, usageError("--fleet: %v", err)
	}
	out := load.Fleet{
		Addresses: f.Section("instances").Key("addresses").Strings(","),
		Engines:   f.Section("engines").Key("addresses").Strings(","),
		Keys:      map[lists.WorkspaceID]string{},
	}
	for w, key := range f.Section("keys").KeysHash() {
		out.Keys[lists.WorkspaceID(w)] = key
	}
	if len(out.Addresses) == 0 {
		return out, usageError("--fleet: %s names no addresses in section [instances]", file)
	}
	return out, nil
}

func loadOptions(k *cli.Command) (load.Options, error) {
	p, err := findPreset(k)
	if err != nil {
		return load.Options{}, err
	}
	o := load.Options{
		Preset: p, Seed: uint64(k.Int("seed")), WarmUp: k.Duration("warm-up"), Duration: k.Duration("span"), NoisyWorkspace: -1, NoisyFactor: k.Float("factor"),
	}
	for i, w := range p.Workspaces {
		if string(w.ID) == k.String("loud") {
			o.NoisyWorkspace = i
		}
	}
	if k.String("loud") != "" && o.NoisyWorkspace < 0 {
		return o, usageError("--loud: the preset has no workspace %q", k.String("loud"))
	}
	for _, m := range k.StringSlice("mark") {
		at, name, _ := strings.Cut(m, "=")
		d, err := time.ParseDuration(at)
		if err != nil {
			return o, usageError("--mark must be TIME=NAME: %v", err)
		}
		o.Marks = append(o.Marks, load.Mark{At: d, Name: name})
	}
	return o, nil
}

// runLoad sends the load and writes the report. It returns an error if the run broke a
// guarantee, so that scripts notice it by the exit code.
func runLoad(c context.Context, k *cli.Command) error {
	o, err := loadOptions(k)
	if err != nil {
		return err
	}
	f, err := readFleet(k.String("fleet"))
	if err != nil {
		return err
	}
	r, err := load.NewRunner(f, o).Run(c)
	if err != nil {
		return err
	}
	if err := writePlot(k.String("plot"), r); err != nil {
		return err
	}
	write := r.WriteTable
	if k.String("output") == "json" {
		write = r.WriteJSON
	}
	if err := write(k.Root().Writer); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return eris.Errorf("%d guarantees were broken, the first: %s", len(r.Violations), r.Violations[0])
	}
	return nil
}

func writePlot(file string, r *load.Report) error {
	if file == "" {
		return nil
	}
	w, err := os.Create(file)
	if err != nil {
		return eris.Wrap(err, "create plot file")
	}
	defer w.Close()
	if err := r.WritePlot(w); err != nil {
		return fmt.Errorf("write plot %s: %w", file, err)
	}
	return nil
}
