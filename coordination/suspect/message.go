package suspect

import (
	"time"

	"gentiangauge.example/gentiangauge/state/suspicion"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// announcement is what instances tell each other about crashes, in any combination.
type announcement struct {
	mesh.Message
	Crashes  []*crashMessage   `protobuf:"bytes,1,rep,name=crashes,proto3"`
	Sound    []uint64          `protobuf:"fixed64,2,rep,packed,name=sound,proto3"`
	Verdicts []*verdictMessage `protobuf:"bytes,3,rep,name=verdicts,proto3"`
}

// crashMessage is a crash with the parts that the sender had on the upstream.
type crashMessage struct {
	mesh.Message
	Upstream  string   `protobuf:"bytes,1,opt,name=upstream,proto3"`
	StartedAt int64    `protobuf:"varint,2,opt,name=started_at,proto3"`
	Parts     []uint64 `protobuf:"fixed64,3,rep,packed,name=parts,proto3"`
}

// verdictMessage is a verdict. Lead is the part that identifies it together with the crash.
type verdictMessage struct {
	mesh.Message
	Crash   *crashMessage `protobuf:"bytes,1,opt,name=crash,proto3"`
	Lead    uint64        `protobuf:"fixed64,2,opt,name=lead,proto3"`
	QuietMs int64         `protobuf:"varint,3,opt,name=quiet_ms,proto3"`
}

type announcementReply struct {
	mesh.Message
}

func encodeParts(l []suspicion.Part) []uint64 {
	out := make([]uint64, len(l))
	for i, p := range l {
		out[i] = uint64(p)
	}
	return out
}

func decodeParts(l []uint64) []suspicion.Part {
	out := make([]suspicion.Part, len(l))
	for i, p := range l {
		out[i] = suspicion.Part(p)
	}
	return out
}

func encodeCrash(e suspicion.Evidence) *crashMessage {
	return &crashMessage{Upstream: e.Upstream, StartedAt: e.StartedAt, Parts: encodeParts(e.Parts)}
}

func (m *crashMessage) evidence() suspicion.Evidence {
	return suspicion.Evidence{Crash: suspicion.Crash{Upstream: m.Upstream, StartedAt: m.StartedAt}, Parts: decodeParts(m.Parts)}
}

func encodeVerdict(v suspicion.Verdict) *verdictMessage {
	return &verdictMessage{Crash: encodeCrash(suspicion.Evidence{Crash: v.Crash, Parts: v.Parts}), Lead: uint64(v.Lead), QuietMs: v.Quiet.Milliseconds()}
}

func (m *verdictMessage) verdict() (suspicion.Verdict, bool) {
	if m.Crash == nil {
		return suspicion.Verdict{}, false
	}
	e := m.Crash.evidence()
	return suspicion.Verdict{
		VerdictID: suspicion.VerdictID{Crash: e.Crash, Lead: suspicion.Part(m.Lead)}, Parts: e.Parts, Quiet: time.Duration(m.QuietMs) * time.Millisecond,
	}, true
}
