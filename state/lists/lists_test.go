package lists_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"gentiangauge.example/gentiangauge/finding"
	"gentiangauge.example/gentiangauge/state/lists"
)

const (
	validPlans = "[workspace eggs]\nplan = small\n"
	validUses  = "[plan small]\nrate-tokens-per-second = 10\nburst-tokens = 100\nadapter = duck@1\nadapter = duck@10\nadapter = duck@9\n"
)

func parse(plans, uses string) (*lists.State, error) {
	return lists.Parse(lists.File{Name: "plans.ini", Data: []byte(plans)}, lists.File{Name: "uses.ini", Data: []byte(uses)})
}

func TestParseReportsAllFindingsWithTheirLines(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatal("no test cases in testdata/bad:", err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/bad"))
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".ini")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			plans, uses, _ := strings.Cut(string(data), "# --- uses ---\n")
			_, err = parse(plans, uses)
			var l finding.List
			if !errors.As(err, &l) {
				t.Fatalf("Parse returned no findings: %v", err)
			}
			g.Assert(t, name, []byte(l.Error()+"\n"))
		})
	}
}

func TestFormattedListsParseToTheSameState(t *testing.T) {
	s, err := parse(validPlans, validUses)
	if err != nil {
		t.Fatal(err)
	}
	again, err := parse(string(lists.FormatPlans(s)), string(lists.FormatUses(s)))
	if err != nil || len(s.Diff(again)) > 0 {
		t.Errorf("formatted lists parse to another state: diff %v, error %v", s.Diff(again), err)
	}
}

func TestEncodedStateKeepsPlansAndKeys(t *testing.T) {
	s, err := parse(validPlans, validUses)
	if err != nil {
		t.Fatal(err)
	}
	s, err = s.Apply(lists.Change{Version: 1, Steps: []lists.Step{
		{Action: lists.AddKey, Key: "k1", Workspace: "eggs", Hash: "h1"},
		{Action: lists.AddKey, Key: "k2", Workspace: "eggs", Hash: "h2"},
		{Action: lists.RevokeKey, Key: "k1"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	again, err := lists.DecodeState(lists.EncodeState(s))
	if err != nil || again.Version != 1 || len(s.Diff(again)) > 0 {
		t.Fatalf("decoded state differs: %v", err)
	}
	if k, ok := again.KeyByHash("h1"); !ok || !k.Revoked {
		t.Error("revoked key k1 is missing or not revoked in the decoded state")
	}
	if k, ok := again.KeyByHash("h2"); !ok || k.Revoked {
		t.Error("key k2 is missing or revoked in the decoded state")
	}
}

func ExamplePlan_Resolve() {
	s, _ := parse(validPlans, validUses)
	p, _ := s.PlanOf("eggs")
	fmt.Println(p.Resolve("duck"))
	fmt.Println(p.Resolve("duck@9"))
	fmt.Println(p.Resolve("duck@2"))
	// Output:
	// duck@10 true
	// duck@9 true
	// duck@2 false
}

func ExampleState_Diff() {
	before, _ := parse(validPlans, validUses)
	after, _ := parse(validPlans, strings.Replace(validUses, "duck@1\n", "goose@1\n", 1))
	for _, step := range before.Diff(after) {
		fmt.Println(step)
	}
	// Output:
	// allow small goose@1
	// disallow small duck@1
}

func FuzzParse(f *testing.F) {
	f.Add(validPlans, validUses)
	f.Add("[workspace x]\nplan = y", "[plan y]\nrate-tokens-per-second = 1.000")
	f.Add("[", "]")
	f.Add("[workspace a]\n\xff", "[plan ]\n=\n")
	f.Fuzz(func(t *testing.T, plans, uses string) {
		s, err := parse(plans, uses)
		if err != nil {
			return
		}
		again, err := parse(string(lists.FormatPlans(s)), string(lists.FormatUses(s)))
		if err != nil || len(s.Diff(again)) > 0 || len(again.Diff(s)) > 0 {
			t.Fatalf("formatted lists parse to another state: %v", err)
		}
	})
}

func FuzzDecodeChange(f *testing.F) {
	f.Add(lists.EncodeChange(lists.Change{Version: 3, ID: "x", Steps: []lists.Step{{Action: lists.AllowAdapter, Plan: "p", Adapter: "a@1"}}}))
	f.Add([]byte(`{"version":-1,"steps":[{"action":"withdraw-key","key":""}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := lists.DecodeChange(b)
		if err != nil {
			return
		}
		again, err := lists.DecodeChange(lists.EncodeChange(c))
		if err != nil || fmt.Sprint(again) != fmt.Sprint(c) {
			t.Fatalf("%v decodes to %v: %v", c, again, err)
		}
	})
}
