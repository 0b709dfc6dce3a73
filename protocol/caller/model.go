package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"net/http"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/settings"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/suspicion"
)

// modelRequest is the decoded JSON body of a request for a model.
type modelRequest struct {
	fields          map[string]json.RawMessage
	model           lists.Adapter
	stream          bool
	includeUsage    bool
	maxOutputTokens int64
	choices         int64
	promptTokens    int64
}

// templateTokensPerMessage is the maximum number of tokens that a chat template adds to
// one message.
const templateTokensPerMessage = 8

const maxChoices = 16

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func invalidBody(format string, args ...any) error {
	return refusal.New(refusal.BodyInvalid, http.StatusBadRequest, format, args...)
}

// parseModelRequest decodes and validates a body. Errors are refusals.
func parseModelRequest(body []byte, c settings.Caller) (*modelRequest, error) {
	q := &modelRequest{maxOutputTokens: c.DefaultOutputTokens, choices: 1}
	if err := json.Unmarshal(body, &q.fields); err != nil || q.fields == nil {
		return nil, invalidBody("the body is not a JSON object")
	}
	var model string
	if q.decodeField("model", &model) != nil || model == "" {
		return nil, invalidBody("the field model must be ADAPTER or ADAPTER@VERSION")
	}
	q.model = lists.Adapter(model)
	var options streamOptions
	if q.decodeField("stream", &q.stream) != nil || q.decodeField("stream_options", &options) != nil {
		return nil, invalidBody("the field stream must be true or false, and stream_options an object")
	}
	q.includeUsage = options.IncludeUsage
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if q.decodeField(name, &q.maxOutputTokens) != nil || q.maxOutputTokens <= 0 {
			return nil, invalidBody("the field %s must be a whole number above zero", name)
		}
	}
	for _, name := range []string{"n", "best_of"} {
		n := q.choices
		if q.decodeField(name, &n) != nil || n < 1 || n > maxChoices {
			return nil, invalidBody("the field %s must be a whole number from 1 to %d", name, maxChoices)
		}
		q.choices = max(q.choices, n)
	}
	return q, q.estimatePromptTokens(c)
}

// decodeField decodes a field into target. It leaves target unchanged if the field is
// missing or null.
func (q *modelRequest) decodeField(name string, target any) error {
	raw, ok := q.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	return json.Unmarshal(raw, target)
}

// estimatePromptTokens sets promptTokens to an upper bound that it computes from the size
// of the prompt in bytes.
func (q *modelRequest) estimatePromptTokens(c settings.Caller) error {
	var messages []json.RawMessage
	if err := q.decodeField("messages", &messages); err != nil {
		return invalidBody("the field messages must be a list")
	}
	bytes := int64(len(q.fields["prompt"]))
	for _, m := range messages {
		bytes += int64(len(m))
	}
	if bytes == 0 {
		return invalidBody("the body has neither messages nor a prompt")
	}
	q.promptTokens = (bytes+c.PromptBytesPerToken-1)/c.PromptBytesPerToken + templateTokensPerMessage*int64(len(messages)+1)
	return nil
}

// maxTokens returns the maximum number of tokens that the request can use.
func (q *modelRequest) maxTokens() lists.Tokens {
	return lists.Tokens(q.promptTokens + q.maxOutputTokens*q.choices)
}

// encode returns the body for the engine: with the full name of the adapter, the output
// limit that was reserved, and usage reports enabled for streams.
func (q *modelRequest) encode(a lists.Adapter) ([]byte, error) {
	q.fields["model"], _ = json.Marshal(string(a))
	q.fields["max_tokens"], _ = json.Marshal(q.maxOutputTokens)
	delete(q.fields, "max_completion_tokens")
	if q.stream {
		q.fields["stream_options"], _ = json.Marshal(streamOptions{IncludeUsage: true})
	}
	return json.Marshal(q.fields)
}

// requestPart returns the part that stands for the whole request: the workspace, the adapter and
// the body. It is the same on every instance that receives the request, and begins the hash under
// which earlier versions stored their verdicts.
func requestPart(w lists.WorkspaceID, a lists.Adapter, body []byte) suspicion.Part {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(w), {0}, []byte(a), {0}, body} {
		_, _ = h.Write(part)
	}
	return suspicion.Part(binary.BigEndian.Uint64(h.Sum(nil)))
}
