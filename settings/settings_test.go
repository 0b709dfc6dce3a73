package settings_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"gentiangauge.example/gentiangauge/finding"
	"gentiangauge.example/gentiangauge/settings"
)

const validSettings = `[instance]
name = one
zone = rosenheim
address = 127.0.0.1:8080
mesh-address = 127.0.0.1:8081
operator-address = 127.0.0.1:8082
[platform]
table-address = 127.0.0.1:9000
object-address = 127.0.0.1:9000
directory-address = 127.0.0.1:9000
[pool model]
kind = engine
adapter-slots = 8
concurrency = 16
fencing = checked
[pool shop]
kind = service
[route orders]
prefix = /orders
pool = shop
[route orders-open]
prefix = /orders/open
pool = shop
access = open
idempotent = yes
`

func TestBadSettingsReportEveryFindingWithItsLine(t *testing.T) {
	data, err := os.ReadFile("testdata/bad.ini")
	if err != nil {
		t.Fatal(err)
	}
	_, err = settings.Parse("bad.ini", data)
	var l finding.List
	if !errors.As(err, &l) {
		t.Fatalf("no findings: %v", err)
	}
	goldie.New(t).Assert(t, "bad", []byte(l.Error()+"\n"))
}

func TestValidSettingsHaveDefaults(t *testing.T) {
	s, err := settings.Parse("good.ini", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Lease.Duration != 2500 || s.Caller.BodyBytes != 4<<20 || s.EnginePool().AdapterSlots != 8 {
		t.Errorf("got %+v", s)
	}
	if s.Routes[0].Name != "orders-open" || !s.Routes[0].Open() || s.Routes[1].Repeatable() {
		t.Errorf("routes are not sorted by descending prefix length: %+v", s.Routes)
	}
}

func ExampleParse() {
	_, err := settings.Parse("my.ini", []byte(strings.Replace(validSettings, "127.0.0.1:8080", "localhost:8080", 1)))
	fmt.Println(err)
	// Output: my.ini:4: bad-value: address = "localhost:8080" is not an IP number with a port
}
