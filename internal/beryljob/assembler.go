package beryljob

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"berylroad.example/berylroad/internal/berylcall"
)

// eventStream is the media type of a streamed answer (server-sent events).
const eventStream = "text/event-stream"

// errUnsupportedStream means that no plain answer can be assembled from a stream: a chunk is not understood, has several
// choices, or the text is over maxAnswerBytes.
var errUnsupportedStream = errors.New("no plain answer can be assembled from the stream")

var _ berylcall.Restarter = (*streamAssembler)(nil)

// streamAssembler receives a streamed answer and assembles the plain answer from it. Items are streamed so that an item
// which yielded its upstream resumes after the events received so far. An answer that is not streamed is kept unchanged.
type streamAssembler struct {
	bufferedAnswer
	streamed bool
	// events is the number of chunks with a choice, after which an upstream resumes the stream.
	events int
	// unsupported is set if no plain answer can be assembled from the stream.
	unsupported bool
	completion  completion
	text        strings.Builder
}

// completion is a plain answer with the fields that are assembled from a stream.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chunk is one event of a stream.
type chunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Index int `json:"index"`
	Delta *struct {
		Role    string  `json:"role"`
		Content *string `json:"content"`
	} `json:"delta"`
	Text         *string `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Start records the status and whether the answer is streamed.
func (a *streamAssembler) Start(status int, contentType string) error {
	a.streamed = strings.HasPrefix(contentType, eventStream)
	return a.bufferedAnswer.Start(status, contentType)
}

// Restart discards the answer received so far.
func (a *streamAssembler) Restart() error {
	*a = streamAssembler{}
	return nil
}

// Write adds one event of a stream, or some bytes of a plain answer.
func (a *streamAssembler) Write(body []byte) error {
	if !a.streamed {
		return a.bufferedAnswer.Write(body)
	}
	for line := range bytes.Lines(body) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		data = bytes.TrimSpace(data)
		if !ok || bytes.Equal(data, []byte("[DONE]")) {
			continue
		}
		if err := a.addChunk(data); err != nil {
			a.unsupported = true
			return err
		}
	}
	return nil
}

// addChunk adds one chunk, in JSON, to the answer.
func (a *streamAssembler) addChunk(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil || c.Object == "" || len(c.Choices) > 1 {
		return errUnsupportedStream
	}
	if a.completion.Object == "" {
		a.completion = completion{ID: c.ID, Object: strings.TrimSuffix(c.Object, ".chunk"), Created: c.Created, Model: c.Model}
		a.completion.Choices = []choice{{}}
	}
	if len(c.Usage) > 0 && !bytes.Equal(c.Usage, []byte("null")) {
		a.completion.Usage = bytes.Clone(c.Usage)
	}
	for i := range c.Choices {
		a.events++
		a.addChoice(&c.Choices[i])
	}
	if a.text.Len() > maxAnswerBytes {
		return errUnsupportedStream
	}
	return nil
}

func (a *streamAssembler) addChoice(p *chunkChoice) {
	assembled := &a.completion.Choices[0]
	if p.FinishReason != nil {
		assembled.FinishReason = p.FinishReason
	}
	if p.Text != nil {
		a.text.WriteString(*p.Text)
		assembled.Text = p.Text
		return
	}
	if p.Delta == nil {
		return
	}
	if assembled.Message == nil {
		assembled.Message = &message{Role: "assistant"}
	}
	if p.Delta.Content != nil {
		a.text.WriteString(*p.Delta.Content)
	}
}

// plainAnswer returns the body of the plain answer.
func (a *streamAssembler) plainAnswer() ([]byte, error) {
	if !a.streamed {
		return a.body.Bytes(), nil
	}
	if len(a.completion.Choices) == 0 {
		return nil, errUnsupportedStream
	}
	text := a.text.String()
	assembled := &a.completion.Choices[0]
	if assembled.Message != nil {
		assembled.Message.Content = text
	} else {
		assembled.Text = &text
	}
	return json.Marshal(&a.completion)
}

// streamableKeys are the request keys that a streamed request may have: with no others can the plain answer be assembled
// from the stream.
var streamableKeys = [...]string{
	"model", "messages", "prompt", "max_tokens", "max_completion_tokens", "temperature", "top_p", "seed", "stop", "user",
	"presence_penalty", "frequency_penalty", "stream",
}

// streamBody returns the item's body changed to request a stream that includes the usage, or nil if the item must be sent
// as a plain request.
func streamBody(item *Item) []byte {
	var body map[string]json.RawMessage
	if json.Unmarshal(item.Body, &body) != nil {
		return nil
	}
	for key := range body {
		if !slices.Contains(streamableKeys[:], key) {
			return nil
		}
	}
	body["stream"] = json.RawMessage("true")
	body["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	data, err := json.Marshal(body)
	if err != nil {
		return nil
	}
	return data
}
