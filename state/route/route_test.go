package route_test

import (
	"fmt"
	"testing"

	"gentiangauge.example/gentiangauge/state/route"
)

func table() *route.Table {
	return route.New(route.Config{
		Version: 7,
		Routes: []route.Route{
			{Name: "wide", Host: "Shop.Example", Prefix: "/a/", Targets: []route.Target{{Service: "models", Weight: 90}, {Service: "orders", Weight: 10}}},
			{Name: "narrow", Host: "shop.example", Prefix: "/a/b/", Targets: []route.Target{{Service: "orders", Weight: 1}}},
		},
		Services:   []route.Service{{Name: "models"}, {Name: "orders"}},
		Workspaces: []route.Workspace{{Name: "guild", Keys: []string{"k1", "k2"}, ByTokens: true, PlainTokens: 200}},
	})
}

func ExampleTable_Find() {
	t := table()
	for _, p := range []string{"/a/x", "/a/b/x", "/a/bx", "/c/"} {
		r, ok := t.Find("shop.example:8080", p)
		if !ok {
			fmt.Println(p, "no route")
			continue
		}
		fmt.Println(p, r.Name)
	}
	// Output:
	// /a/x wide
	// /a/b/x narrow
	// /a/bx wide
	// /c/ no route
}

func TestWorkspaceByKeyFindsOnlyConfiguredKeys(t *testing.T) {
	x := table()
	for key, want := range map[string]bool{"k1": true, "k2": true, "k": false, "": false} {
		if _, ok := x.WorkspaceByKey(key); ok != want {
			t.Errorf("workspace found for key %q: %v, want %v", key, ok, want)
		}
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r, _ := table().Find("shop.example", "/a/x")
	count := map[route.ServiceName]int{}
	for i := range 1000 {
		count[r.Pick(float64(i)/1000)]++
	}
	if count["models"] != 900 || count["orders"] != 100 {
		t.Errorf("picked %v, want 900 and 100", count)
	}
	if s := (&route.Route{}).Pick(0.5); s != "" {
		t.Errorf("a route without targets picked %q", s)
	}
}

func TestCostCountsTokensOrRequests(t *testing.T) {
	byTokens := &route.Workspace{ByTokens: true, PlainTokens: 200}
	for _, x := range []struct {
		workspace *route.Workspace
		tokens    int
		want      float64
	}{{byTokens, 1540, 1540}, {byTokens, 0, 200}, {&route.Workspace{}, 1540, 1}} {
		if got := x.workspace.Cost(x.tokens); got != x.want {
			t.Errorf("cost of %d tokens: %v, want %v", x.tokens, got, x.want)
		}
	}
}

func TestOnlySafeAndResumableRoutesAreRepeatable(t *testing.T) {
	for _, x := range []struct {
		route route.Route
		want  bool
	}{
		{route.Route{Kind: route.Safe}, true},
		{route.Route{Kind: route.Unsafe, Resumable: true}, false},
		{route.Route{Kind: route.Stream}, false},
		{route.Route{Kind: route.Stream, Resumable: true}, true},
	} {
		if got := x.route.Repeatable(); got != x.want {
			t.Errorf("%v resumable %v: repeatable %v, want %v", x.route.Kind, x.route.Resumable, got, x.want)
		}
	}
}
