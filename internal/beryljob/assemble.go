package beryljob

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"berylroad.example/berylroad/internal/berylcall"
)

// eventStream is the media type of an answer that comes in events.
const eventStream = "text/event-stream"

// errUnfit says that a stream holds what a plain answer cannot be put together from.
var errUnfit = errors.New("the stream holds fields that are not put together")

var _ berylcall.Restarter = (*assembly)(nil)

// assembly takes an answer as a stream and puts the plain answer together, so that an item which yielded goes on from
// the events it has. An answer that is no stream is kept as it is.
type assembly struct {
	answer
	streamed bool
	// events counts the chunks with a choice, from which an upstream that resumes goes on.
	events int
	// unfit marks a stream from which no plain answer can be made.
	unfit bool
	whole completion
	text  strings.Builder
}

// completion is the part of a plain answer that is put together.
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
	Choices []part          `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type part struct {
	Index int `json:"index"`
	Delta *struct {
		Role    string  `json:"role"`
		Content *string `json:"content"`
	} `json:"delta"`
	Text         *string `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Start keeps the status and sees whether the answer is a stream.
func (a *assembly) Start(status int, contentType string) error {
	a.streamed = strings.HasPrefix(contentType, eventStream)
	return a.answer.Start(status, contentType)
}

// Restart forgets what there is of the answer.
func (a *assembly) Restart() error {
	*a = assembly{}
	return nil
}

// Write takes one event of a stream or some bytes of a plain answer.
func (a *assembly) Write(body []byte) error {
	if !a.streamed {
		return a.answer.Write(body)
	}
	for line := range bytes.Lines(body) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		data = bytes.TrimSpace(data)
		if !ok || bytes.Equal(data, []byte("[DONE]")) {
			continue
		}
		if err := a.add(data); err != nil {
			a.unfit = true
			return err
		}
	}
	return nil
}

// add puts one chunk to the answer.
func (a *assembly) add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil || c.Object == "" || len(c.Choices) > 1 {
		return errUnfit
	}
	if a.whole.Object == "" {
		a.whole = completion{ID: c.ID, Object: strings.TrimSuffix(c.Object, ".chunk"), Created: c.Created, Model: c.Model}
		a.whole.Choices = []choice{{}}
	}
	if len(c.Usage) > 0 && !bytes.Equal(c.Usage, []byte("null")) {
		a.whole.Usage = bytes.Clone(c.Usage)
	}
	for i := range c.Choices {
		a.events++
		a.addPart(&c.Choices[i])
	}
	if a.text.Len() > maxAnswerBytes {
		return errUnfit
	}
	return nil
}

func (a *assembly) addPart(p *part) {
	kept := &a.whole.Choices[0]
	if p.FinishReason != nil {
		kept.FinishReason = p.FinishReason
	}
	if p.Text != nil {
		a.text.WriteString(*p.Text)
		kept.Text = p.Text
		return
	}
	if p.Delta == nil {
		return
	}
	if kept.Message == nil {
		kept.Message = &message{Role: "assistant"}
	}
	if p.Delta.Content != nil {
		a.text.WriteString(*p.Delta.Content)
	}
}

// bytes returns the plain answer.
func (a *assembly) bytes() ([]byte, error) {
	if !a.streamed {
		return a.body.Bytes(), nil
	}
	if len(a.whole.Choices) == 0 {
		return nil, errUnfit
	}
	text := a.text.String()
	kept := &a.whole.Choices[0]
	if kept.Message != nil {
		kept.Message.Content = text
	} else {
		kept.Text = &text
	}
	return json.Marshal(&a.whole)
}

// streamable are the keys of a body whose answer can be put together from a stream.
var streamable = [...]string{
	"model", "messages", "prompt", "max_tokens", "max_completion_tokens", "temperature", "top_p", "seed", "stop", "user",
	"presence_penalty", "frequency_penalty", "stream",
}

// streamBody returns the item's body as a request for a stream with usage, or nil where only a plain answer will do.
func streamBody(item *Item) []byte {
	var body map[string]json.RawMessage
	if json.Unmarshal(item.Body, &body) != nil {
		return nil
	}
	for key := range body {
		if !slices.Contains(streamable[:], key) {
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
