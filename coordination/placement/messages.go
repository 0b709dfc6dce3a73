package placement

import (
	"time"

	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

const (
	acquireMethod       = "use/acquire"
	releaseMethod       = "use/release"
	reportMethod        = "use/report"
	checkMethod         = "use/check"
	permitMethod        = "permit/acquire"
	permitReleaseMethod = "permit/release"
	permitReportMethod  = "permit/report"
)

type useMessage struct {
	mesh.Message
	ID          string `protobuf:"bytes,1,opt,name=id,proto3"`
	Upstream    string `protobuf:"bytes,2,opt,name=upstream,proto3"`
	Incarnation int64  `protobuf:"varint,3,opt,name=incarnation,proto3"`
	Address     string `protobuf:"bytes,4,opt,name=address,proto3"`
	Adapter     string `protobuf:"bytes,5,opt,name=adapter,proto3"`
	Workspace   string `protobuf:"bytes,6,opt,name=workspace,proto3"`
	Alone       bool   `protobuf:"varint,7,opt,name=alone,proto3"`
	LoadNanos   int64  `protobuf:"varint,8,opt,name=load_nanos,proto3"`
	Holder      string `protobuf:"bytes,9,opt,name=holder,proto3"`
}

func toMessage(u adapter.Use) *useMessage {
	return &useMessage{
		ID: string(u.ID), Upstream: string(u.Upstream), Incarnation: int64(u.Incarnation), Address: u.Address,
		Adapter: string(u.Adapter), Workspace: string(u.Workspace), Alone: u.Exclusive, LoadNanos: int64(u.LoadWait), Holder: string(u.Holder),
	}
}

func fromMessage(m *useMessage) adapter.Use {
	return adapter.Use{
		ID: adapter.UseID(m.ID), Upstream: adapter.UpstreamID(m.Upstream), Incarnation: adapter.Incarnation(m.Incarnation), Address: m.Address,
		Adapter: lists.Adapter(m.Adapter), Workspace: lists.WorkspaceID(m.Workspace), Exclusive: m.Alone,
		LoadWait: time.Duration(m.LoadNanos), Holder: adapter.Holder(m.Holder),
	}
}

type acquireQuery struct {
	mesh.Message
	Use    *useMessage `protobuf:"bytes,1,opt,name=use,proto3"`
	Tokens int64       `protobuf:"varint,2,opt,name=tokens,proto3"`
}

type acquireReply struct {
	mesh.Message
	Result int32       `protobuf:"varint,1,opt,name=result,proto3"`
	Use    *useMessage `protobuf:"bytes,2,opt,name=use,proto3"`
}

type releaseQuery struct {
	mesh.Message
	Upstream string `protobuf:"bytes,1,opt,name=upstream,proto3"`
	ID       string `protobuf:"bytes,2,opt,name=id,proto3"`
	Failed   bool   `protobuf:"varint,3,opt,name=failed,proto3"`
}

type releaseReply struct {
	mesh.Message
}

type reportQuery struct {
	mesh.Message
	Upstream string `protobuf:"bytes,1,opt,name=upstream,proto3"`
}

type reportReply struct {
	mesh.Message
	Uses []*useMessage `protobuf:"bytes,1,rep,name=uses,proto3"`
}

type checkQuery struct {
	mesh.Message
	IDs []string `protobuf:"bytes,1,rep,name=ids,proto3"`
}

type checkReply struct {
	mesh.Message
	Held []string `protobuf:"bytes,1,rep,name=held,proto3"`
}

type permitQuery struct {
	mesh.Message
	ID        string `protobuf:"bytes,1,opt,name=id,proto3"`
	Workspace string `protobuf:"bytes,2,opt,name=workspace,proto3"`
}

type permitReply struct {
	mesh.Message
	Granted bool `protobuf:"varint,1,opt,name=granted,proto3"`
}

type permitReleaseQuery struct {
	mesh.Message
	ID string `protobuf:"bytes,1,opt,name=id,proto3"`
}

type permitReportQuery struct {
	mesh.Message
}

// permitReportReply lists the permits that a member holds. If the member is or was the
// owner of the permits (Former), it also has the times since its last grant and since the
// end of its term, and the roster epoch in which it last was the owner.
type permitReportReply struct {
	mesh.Message
	IDs          []string `protobuf:"bytes,1,rep,name=ids,proto3"`
	Former       bool     `protobuf:"varint,2,opt,name=former,proto3"`
	GrantedAgoMs int64    `protobuf:"varint,3,opt,name=granted_ago_ms,proto3"`
	EndedAgoMs   int64    `protobuf:"varint,4,opt,name=ended_ago_ms,proto3"`
	Epoch        int64    `protobuf:"varint,5,opt,name=epoch,proto3"`
}

type viewMessage struct {
	mesh.Message
	Upstream string   `protobuf:"bytes,1,opt,name=upstream,proto3"`
	Running  int64    `protobuf:"varint,2,opt,name=running,proto3"`
	Queued   int64    `protobuf:"varint,3,opt,name=queued,proto3"`
	Room     int64    `protobuf:"varint,4,opt,name=room,proto3"`
	Down     bool     `protobuf:"varint,5,opt,name=down,proto3"`
	Adapters []string `protobuf:"bytes,6,rep,name=adapters,proto3"`
	Counts   []int64  `protobuf:"varint,7,rep,packed,name=counts,proto3"`
}

type gossipMessage struct {
	mesh.Message
	Views []*viewMessage `protobuf:"bytes,1,rep,name=views,proto3"`
}
