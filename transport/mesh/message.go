package mesh

import (
	"bufio"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/protoadapt"
)

// Message provides the methods that the protobuf library requires. Message structs
// embed it and declare their fields by protobuf tags.
type Message struct {
}

// Reset does nothing: a new struct is used for each message.
func (*Message) Reset() {}

// String returns an empty string, because messages are not logged.
func (*Message) String() string { return "" }

// ProtoMessage marks the struct as a message.
func (*Message) ProtoMessage() {}

const maxMessageBytes = 64 << 20

type request struct {
	Message
	Method  string `protobuf:"bytes,1,opt,name=method,proto3"`
	From    string `protobuf:"bytes,2,opt,name=from,proto3"`
	Wall    int64  `protobuf:"varint,3,opt,name=wall,proto3"`
	Logical int64  `protobuf:"varint,4,opt,name=logical,proto3"`
	Body    []byte `protobuf:"bytes,5,opt,name=body,proto3"`
}

type reply struct {
	Message
	Failure string `protobuf:"bytes,1,opt,name=failure,proto3"`
	Wall    int64  `protobuf:"varint,2,opt,name=wall,proto3"`
	Logical int64  `protobuf:"varint,3,opt,name=logical,proto3"`
	Body    []byte `protobuf:"bytes,4,opt,name=body,proto3"`
}

// forwardQuery is a call that a third instance forwards to its destination.
type forwardQuery struct {
	Message
	Address string `protobuf:"bytes,1,opt,name=address,proto3"`
	Method  string `protobuf:"bytes,2,opt,name=method,proto3"`
	Body    []byte `protobuf:"bytes,3,opt,name=body,proto3"`
}

type forwardReply struct {
	Message
	Body []byte `protobuf:"bytes,1,opt,name=body,proto3"`
}

// Marshal encodes a message.
func Marshal(m protoadapt.MessageV1) ([]byte, error) {
	b, err := proto.Marshal(protoadapt.MessageV2Of(m))
	return b, eris.Wrap(err, "encode message")
}

// Unmarshal decodes a message.
func Unmarshal(b []byte, m protoadapt.MessageV1) error {
	return eris.Wrap(proto.Unmarshal(b, protoadapt.MessageV2Of(m)), "decode message")
}

func write(w io.Writer, m protoadapt.MessageV1) error {
	_, err := protodelim.MarshalTo(w, protoadapt.MessageV2Of(m))
	return eris.Wrap(err, "send message")
}

func read(r *bufio.Reader, m protoadapt.MessageV1) error {
	o := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return eris.Wrap(o.UnmarshalFrom(r, protoadapt.MessageV2Of(m)), "receive message")
}
