// Package load generates the load of model systems, sends it to a fleet and reports latency,
// refusals and violations of the fleet's guarantees.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
)

// Workspace is a workspace of a preset with its rate limit.
type Workspace struct {
	ID lists.WorkspaceID
	// Share is the fraction of all adapters that belong to the workspace. The shares of a
	// preset add up to 1.
	Share float64
	Rate  lists.TokensPerSecond
	Burst lists.Tokens
}

// Preset describes a model system: its fleet, its workspaces and its load.
type Preset struct {
	Name           string
	Zones          []string
	Instances      int
	Engines        int
	Services       int
	Adapters       int
	SlotsPerEngine int
	AdapterPrefix  string
	Workspaces     []Workspace
	// LoadsPerSecond is the rate limit of the weight store.
	LoadsPerSecond int
	// RequestsPerSecond is the mean arrival rate of the whole system.
	RequestsPerSecond float64
	// ZipfExponent is the exponent of the Zipf distribution of adapter popularity.
	ZipfExponent float64
	// DriftPerHour is the fraction of adapters that become popular or idle in an hour.
	DriftPerHour float64
	// DriftSpeedup is the factor by which the drift is faster than in real time.
	DriftSpeedup float64
	// BookingShare is the fraction of requests that are bookings at a plain service.
	BookingShare     float64
	MeanPromptTokens float64
	MeanOutputTokens float64
	MaxOutputTokens  int
}

const (
	adapters     = 3000
	driftPerHour = 0.073
	driftSpeedup = 60
)

// Presets returns the presets by name.
func Presets() map[string]Preset {
	return map[string]Preset{
		"wuerfelturm": {
			Name: "wuerfelturm", Zones: []string{"rosenheim", "traunstein", "landshut"}, Instances: 13, Engines: 12, Services: 3,
			Adapters: adapters, SlotsPerEngine: 16, AdapterPrefix: "gravur", LoadsPerSecond: 3, RequestsPerSecond: 24, ZipfExponent: 1.5,
			DriftPerHour: driftPerHour, DriftSpeedup: driftSpeedup, BookingShare: 0.1, MeanPromptTokens: 30, MeanOutputTokens: 40, MaxOutputTokens: 300,
			Workspaces: []Workspace{
				{"gravur-vorschau", 0.4, 4000, 60000}, {"kunden-fragen", 0.3, 3000, 45000}, {"gilden-sammelbestellung", 0.15, 1500, 24000},
				{"versand-auskunft", 0.1, 1000, 16000}, {"holz-beratung", 0.05, 500, 10000},
			},
		},
		"patos-del-lago": {
			Name: "patos-del-lago", Zones: []string{"solola", "panajachel", "chimaltenango"}, Instances: 15, Engines: 18, Services: 3,
			Adapters: adapters, SlotsPerEngine: 16, AdapterPrefix: "franquicia", LoadsPerSecond: 4, RequestsPerSecond: 32, ZipfExponent: 1.5,
			DriftPerHour: driftPerHour, DriftSpeedup: driftSpeedup, BookingShare: 0.15, MeanPromptTokens: 25, MeanOutputTokens: 35, MaxOutputTokens: 250,
			Workspaces: []Workspace{
				{"avisos-de-entrega", 0.45, 5000, 75000}, {"preguntas-de-suscriptores", 0.3, 3500, 50000}, {"resumen-semanal", 0.15, 1800, 28000},
				{"rutas-del-amanecer", 0.07, 900, 15000}, {"pruebas", 0.03, 400, 8000},
			},
		},
	}
}

// adapter returns the name of the adapter with index i.
func (p Preset) adapter(i int) lists.Adapter {
	return lists.Adapter(fmt.Sprintf("%s-%04d@1", p.AdapterPrefix, i))
}

// owner returns the index of the workspace that adapter i belongs to. Adapters are assigned
// at random by Share; seeding with i makes the assignment the same in every call.
func (p Preset) owner(i int) int {
	r := rand.New(rand.NewPCG(uint64(i), uint64(len(p.Workspaces))))
	x := r.Float64()
	for w := range p.Workspaces {
		x -= p.Workspaces[w].Share
		if x < 0 {
			return w
		}
	}
	return len(p.Workspaces) - 1
}

// Lists returns lists with a plan for each workspace that allows exactly its own adapters.
func (p Preset) Lists() *lists.State {
	s := lists.Empty()
	for _, w := range p.Workspaces {
		plan := lists.PlanID("plan-" + w.ID)
		s.Workspaces[w.ID] = plan
		s.Plans[plan] = lists.Plan{ID: plan, Rate: w.Rate, Burst: w.Burst, Adapters: map[string][]string{}}
	}
	for i := range p.Adapters {
		a := p.adapter(i)
		s.Plans[lists.PlanID("plan-"+p.Workspaces[p.owner(i)].ID)].Adapters[a.Name()] = []string{a.Version()}
	}
	return s
}

// Arrival is one request of a schedule.
type Arrival struct {
	// Due is the time from the start of the run at which to send the request.
	Due time.Duration
	// Workspace is an index into Preset.Workspaces.
	Workspace    int
	Adapter      lists.Adapter
	PromptTokens int
	OutputTokens int
	Stream       bool
	// Booking is true for a booking at a plain service instead of a model request.
	Booking bool
}

// Schedule returns Poisson arrivals for a run of the given duration, ordered by due time. The
// same seed gives the same schedule. noisy is the index of a workspace that sends factor times
// its usual load, or -1.
func (p Preset) Schedule(seed uint64, duration time.Duration, noisy int, factor float64) []Arrival {
	g := newGenerator(p, seed)
	var all []Arrival
	rateFactor := 1.0
	if noisy >= 0 {
		rateFactor = 1 + p.Workspaces[noisy].Share*(factor-1)
	}
	for due := time.Duration(0); due < duration; {
		due += time.Duration(g.random.ExpFloat64() / (p.RequestsPerSecond * rateFactor) * float64(time.Second))
		a := g.arrival(due)
		if noisy >= 0 && g.random.Float64() < (rateFactor-1)/rateFactor {
			a = g.arrivalOfWorkspace(due, noisy)
		}
		all = append(all, a)
	}
	return all
}

// generator draws the arrivals of a schedule.
type generator struct {
	preset Preset
	random *rand.Rand
	zipf   *rand.Zipf
	// ranks maps a popularity rank to the index of an adapter.
	ranks []int
	// pendingSwaps is the number of rank swaps due, with a fraction carried over.
	pendingSwaps float64
	// driftedUntil is the time up to which drift has been applied.
	driftedUntil time.Duration
}

func newGenerator(p Preset, seed uint64) *generator {
	r := rand.New(rand.NewPCG(seed, 1))
	return &generator{preset: p, random: r, zipf: rand.NewZipf(r, p.ZipfExponent, 1, uint64(p.Adapters-1)), ranks: r.Perm(p.Adapters)}
}

// drift applies the popularity drift since the preceding call. Each swap of two ranks changes
// the popularity of two adapters, hence the division by 2.
func (g *generator) drift(now time.Duration) {
	p := g.preset
	g.pendingSwaps += (now - g.driftedUntil).Hours() * p.DriftSpeedup * p.DriftPerHour * float64(p.Adapters) / 2
	g.driftedUntil = now
	for ; g.pendingSwaps >= 1; g.pendingSwaps-- {
		i, j := g.random.IntN(p.Adapters), g.random.IntN(p.Adapters)
		g.ranks[i], g.ranks[j] = g.ranks[j], g.ranks[i]
	}
}

// arrival draws an arrival for any workspace.
func (g *generator) arrival(due time.Duration) Arrival {
	g.drift(due)
	return g.arrivalFor(due, g.ranks[g.zipf.Uint64()])
}

// arrivalOfWorkspace draws adapters until one belongs to the workspace.
func (g *generator) arrivalOfWorkspace(due time.Duration, workspace int) Arrival {
	for {
		i := g.ranks[g.zipf.Uint64()]
		if g.preset.owner(i) == workspace {
			return g.arrivalFor(due, i)
		}
	}
}

// arrivalFor draws the rest of an arrival for the given adapter.
func (g *generator) arrivalFor(due time.Duration, adapter int) Arrival {
	p := g.preset
	return Arrival{
		Due:          due,
		Workspace:    p.owner(adapter),
		Adapter:      p.adapter(adapter),
		PromptTokens: 1 + int(g.random.ExpFloat64()*p.MeanPromptTokens),
		OutputTokens: min(p.MaxOutputTokens, 1+int(g.random.ExpFloat64()*p.MeanOutputTokens)),
		Stream:       g.random.IntN(2) == 0,
		Booking:      g.random.Float64() < p.BookingShare,
	}
}
