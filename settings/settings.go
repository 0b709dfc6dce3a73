// Package settings parses and validates the settings file of an instance.
package settings

import (
	_ "embed" // for the default settings
	"net/netip"
	"reflect"
	"sort"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"gentiangauge.example/gentiangauge/finding"
)

//go:embed default.ini
var defaults []byte

// Default returns the default settings with their comments.
func Default() []byte {
	return defaults
}

// Milliseconds is a duration in whole milliseconds.
type Milliseconds int64

// Duration converts the value to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Seconds is a duration in whole seconds.
type Seconds int64

// Duration converts the value to a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(s) * time.Second
}

// Instance holds the identity and the listen addresses of the process.
type Instance struct {
	Name            string `ini:"name"`
	Zone            string `ini:"zone"`
	Address         string `ini:"address"`
	MeshAddress     string `ini:"mesh-address"`
	OperatorAddress string `ini:"operator-address"`
	LogLevel        string `ini:"log-level"`
	TimelineEvents  int    `ini:"timeline-events"`
	MemoryMegabytes int64  `ini:"memory-megabytes"`
	Descriptors     int    `ini:"descriptors"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	TableAddress     string       `ini:"table-address"`
	ObjectAddress    string       `ini:"object-address"`
	DirectoryAddress string       `ini:"directory-address"`
	Timeout          Milliseconds `ini:"timeout-milliseconds"`
}

// MaxLease is the longest lease that the settings allow.
const MaxLease = 5 * time.Second

// Lease configures the lease under which an instance serves requests.
type Lease struct {
	Duration         Milliseconds `ini:"duration-milliseconds"`
	RenewalInterval  Milliseconds `ini:"renewal-milliseconds"`
	PingInterval     Milliseconds `ini:"ping-milliseconds"`
	SuspicionTimeout Milliseconds `ini:"suspicion-milliseconds"`
	AnswerGrace      Milliseconds `ini:"answer-grace-milliseconds"`
}

// Caller holds the limits that apply to callers' requests.
type Caller struct {
	BodyBytes           int64        `ini:"body-bytes"`
	HeaderBytes         int          `ini:"header-bytes"`
	BodyTimeout         Milliseconds `ini:"body-milliseconds"`
	AddressTTL          Seconds      `ini:"address-seconds"`
	DefaultOutputTokens int64        `ini:"default-output-tokens"`
	PromptBytesPerToken int64        `ini:"prompt-bytes-per-token"`
	QueueTimeout        Milliseconds `ini:"queue-milliseconds"`
	CallTimeout         Seconds      `ini:"call-seconds"`
	RetryPercent        int64        `ini:"retry-percent"`
	StallTimeout        Milliseconds `ini:"stall-milliseconds"`
}

// Quota configures how quota owners and their standbys divide a quota.
type Quota struct {
	ChunkPercent  int64        `ini:"chunk-percent"`
	FloorDuration Milliseconds `ini:"floor-milliseconds"`
}

// Loads holds the fleet-wide limits of adapter loads.
type Loads struct {
	RatePerSecond int64        `ini:"rate-per-second"`
	InFlight      int64        `ini:"in-flight"`
	LoadTimeout   Milliseconds `ini:"load-milliseconds"`
}

// Placement configures how an engine is chosen for a request.
type Placement struct {
	Policy         string `ini:"policy"`
	SpreadRequests int    `ini:"spread-requests"`
}

// Pool is a group of interchangeable upstreams.
type Pool struct {
	Name         string `ini:"-"`
	Kind         string `ini:"kind"`
	AdapterSlots int    `ini:"adapter-slots"`
	Concurrency  int    `ini:"concurrency"`
	Fencing      string `ini:"fencing"`
}

// IsEngine reports whether the upstreams of the pool are model engines.
func (p Pool) IsEngine() bool {
	return p.Kind == "engine"
}

// Route maps a path prefix to a pool of plain services.
type Route struct {
	Name       string `ini:"-"`
	Prefix     string `ini:"prefix"`
	Pool       string `ini:"pool"`
	Access     string `ini:"access"`
	Idempotent string `ini:"idempotent"`
}

// Open reports whether the route requires no key.
func (r Route) Open() bool {
	return r.Access == "open"
}

// Repeatable reports whether a request of the route may run twice.
func (r Route) Repeatable() bool {
	return r.Idempotent == "yes"
}

// Settings are the validated settings of an instance. The file default.ini describes
// each of them.
type Settings struct {
	Instance  Instance
	Platform  Platform
	Lease     Lease
	Caller    Caller
	Quota     Quota
	Loads     Loads
	Placement Placement
	Pools     []Pool
	Routes    []Route
}

// EnginePool returns the first pool of engines, or an empty pool if there is none.
func (s *Settings) EnginePool() Pool {
	for _, p := range s.Pools {
		if p.IsEngine() {
			return p
		}
	}
	return Pool{}
}

// Pool returns the pool with a name.
func (s *Settings) Pool(name string) (Pool, bool) {
	for _, p := range s.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

type parser struct {
	document *finding.Document
	file     *ini.File
	findings finding.List
	settings Settings
}

// Parse parses a settings file on top of the defaults. The error is a finding.List with
// every fault of the file.
func Parse(file string, data []byte) (*Settings, error) {
	d, l := finding.Parse(file, data)
	if len(l) > 0 {
		return nil, l
	}
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "=", IgnoreContinuation: true}, defaults, data)
	if err != nil {
		l.Add(file, 1, finding.CodeSyntax, "%v", err)
		return nil, l
	}
	p := &parser{document: d, file: f}
	p.decode()
	p.check()
	return &p.settings, p.findings.Err()
}

// sectionTargets returns the sections that every settings file may have, by name, with
// the structs to decode them into.
func (p *parser) sectionTargets() map[string]any {
	s := &p.settings
	return map[string]any{
		"instance": &s.Instance, "platform": &s.Platform, "lease": &s.Lease, "caller": &s.Caller,
		"quota": &s.Quota, "loads": &s.Loads, "placement": &s.Placement,
	}
}

// decode decodes all sections and sorts the routes by descending prefix length.
func (p *parser) decode() {
	targets := p.sectionTargets()
	for _, s := range p.document.Sections {
		kind, name, _ := strings.Cut(s.Name, " ")
		switch {
		case targets[s.Name] != nil:
			p.checkKeys(s, targets[s.Name])
		case kind == "pool" && name != "":
			v := Pool{Name: name, Concurrency: 1, AdapterSlots: 1, Fencing: "ignored"}
			p.checkKeys(s, &v)
			p.settings.Pools = append(p.settings.Pools, v)
		case kind == "route" && name != "":
			v := Route{Name: name, Access: "keyed", Idempotent: "no"}
			p.checkKeys(s, &v)
			p.settings.Routes = append(p.settings.Routes, v)
		default:
			p.findings.Add(p.document.File, s.Line, finding.CodeUnknownSection, "section %q is not known", s.Name)
		}
	}
	p.applyDefaults(targets)
	sort.SliceStable(p.settings.Routes, func(i, j int) bool {
		return len(p.settings.Routes[i].Prefix) > len(p.settings.Routes[j].Prefix)
	})
}

// checkKeys checks the keys and numbers of a section and decodes it into target.
func (p *parser) checkKeys(s finding.Section, target any) {
	fields := fieldsByKey(target)
	seen := map[string]bool{}
	for _, e := range s.Entries {
		field, ok := fields[e.Key]
		switch {
		case !ok:
			p.findings.Add(p.document.File, e.Line, finding.CodeUnknownKey, "key %q is not known in section %q", e.Key, s.Name)
		case seen[e.Key]:
			p.findings.Add(p.document.File, e.Line, finding.CodeDuplicateKey, "key %q appears twice in section %q", e.Key, s.Name)
		case isNumber(field) && !isWholeNumber(e.Value):
			p.findings.Add(p.document.File, e.Line, finding.CodeBadValue, "%s = %q is not a whole number above zero", e.Key, e.Value)
		}
		seen[e.Key] = true
	}
	p.mapSection(s.Name, target)
}

func (p *parser) applyDefaults(targets map[string]any) {
	for name, target := range targets {
		p.mapSection(name, target)
	}
}

func (p *parser) mapSection(name string, target any) {
	if err := p.file.Section(name).MapTo(target); err != nil {
		p.findings.Add(p.document.File, p.document.LineOf(name, ""), finding.CodeBadValue, "section %q: %v", name, err)
	}
}

func fieldsByKey(target any) map[string]reflect.Kind {
	fields := map[string]reflect.Kind{}
	t := reflect.TypeOf(target).Elem()
	for i := range t.NumField() {
		k := t.Field(i).Tag.Get("ini")
		if k != "-" {
			fields[k] = t.Field(i).Type.Kind()
		}
	}
	return fields
}

func isNumber(k reflect.Kind) bool {
	return k == reflect.Int || k == reflect.Int64
}

const maxDigits = 12

func isWholeNumber(v string) bool {
	if v == "" || len(v) > maxDigits || v[0] == '0' {
		return false
	}
	return strings.Trim(v, "0123456789") == ""
}

func (p *parser) addBadValue(section, key, format string, args ...any) {
	p.findings.Add(p.document.File, p.document.LineOf(section, key), finding.CodeBadValue, format, args...)
}

func (p *parser) check() {
	s := &p.settings
	p.required("instance", "name", s.Instance.Name)
	p.required("instance", "zone", s.Instance.Zone)
	p.oneOf("instance", "log-level", s.Instance.LogLevel, "debug", "info", "warn", "error")
	p.oneOf("placement", "policy", s.Placement.Policy, "affinity", "hash", "any")
	seen := map[string]string{}
	p.address("instance", "address", s.Instance.Address, seen)
	p.address("instance", "mesh-address", s.Instance.MeshAddress, seen)
	p.address("instance", "operator-address", s.Instance.OperatorAddress, seen)
	p.address("platform", "table-address", s.Platform.TableAddress, nil)
	p.address("platform", "object-address", s.Platform.ObjectAddress, nil)
	p.address("platform", "directory-address", s.Platform.DirectoryAddress, nil)
	if s.Lease.RenewalInterval*2 > s.Lease.Duration {
		p.addBadValue("lease", "renewal-milliseconds", "renewal-milliseconds must be at most half of duration-milliseconds")
	}
	if s.Lease.PingInterval >= s.Lease.SuspicionTimeout || s.Lease.SuspicionTimeout >= s.Lease.Duration {
		p.addBadValue("lease", "ping-milliseconds", "ping-milliseconds must be below suspicion-milliseconds, and that below duration-milliseconds")
	}
	if s.Lease.Duration.Duration() > MaxLease {
		p.addBadValue("lease", "duration-milliseconds", "duration-milliseconds must be at most %d", MaxLease.Milliseconds())
	}
	p.checkPools()
	p.checkRoutes()
}

func (p *parser) checkPools() {
	for _, v := range p.settings.Pools {
		section := "pool " + v.Name
		p.oneOf(section, "kind", v.Kind, "engine", "service")
		p.oneOf(section, "fencing", v.Fencing, "checked", "ignored")
	}
}

func (p *parser) checkRoutes() {
	prefixes := map[string]string{}
	for _, r := range p.settings.Routes {
		section := "route " + r.Name
		p.oneOf(section, "access", r.Access, "open", "keyed")
		p.oneOf(section, "idempotent", r.Idempotent, "yes", "no")
		if v, ok := p.settings.Pool(r.Pool); !ok || v.IsEngine() {
			p.addBadValue(section, "pool", "pool %q is not a pool of kind service", r.Pool)
		}
		if !strings.HasPrefix(r.Prefix, "/") || strings.HasPrefix(r.Prefix, "/v1/") {
			p.addBadValue(section, "prefix", "prefix %q must begin with / and stay outside /v1/", r.Prefix)
		}
		if other, ok := prefixes[r.Prefix]; ok {
			p.addBadValue(section, "prefix", "prefix %q is also the prefix of route %q", r.Prefix, other)
		}
		prefixes[r.Prefix] = r.Name
	}
}

func (p *parser) required(section, key, value string) {
	if value == "" {
		p.findings.Add(p.document.File, p.document.LineOf(section, key), finding.CodeMissingKey, "%s in section %q must be set", key, section)
	}
}

func (p *parser) oneOf(section, key, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	p.addBadValue(section, key, "%s = %q is not one of %s", key, value, strings.Join(allowed, ", "))
}

// address checks that a value is an IP address with a port, and that it differs from
// the other listen addresses of the process, which are collected in seen.
func (p *parser) address(section, key, value string, seen map[string]string) {
	if value == "" {
		p.required(section, key, value)
		return
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		p.addBadValue(section, key, "%s = %q is not an IP number with a port", key, value)
		return
	}
	if seen == nil {
		return
	}
	if other, ok := seen[value]; ok {
		p.addBadValue(section, key, "%s = %q is also the value of %s", key, value, other)
	}
	seen[value] = key
}
