package berylfake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
)

const (
	defaultAnswerTokens = 16
	maxAnswerTokens     = 1 << 20
	hashTokenInterval   = 8
	hashDigits          = 8
)

// prompt holds the fields of a request body that determine the answer.
type prompt struct {
	model      string
	text       string
	words      []string
	hash       string
	tokenCount int
	firstToken int
	stream     bool
	// includeUsage requests a final stream event with the token usage.
	includeUsage bool
	chat         bool
}

// readPrompt parses the body of a request to /v1/chat/completions or /v1/completions.
func readPrompt(body []byte, chat bool) (prompt, error) {
	var wire struct {
		Model    string `json:"model"`
		Messages []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
		Prompt              json.RawMessage `json:"prompt"`
		MaxTokens           int             `json:"max_tokens"`
		MaxCompletionTokens int             `json:"max_completion_tokens"`
		Stream              bool            `json:"stream"`
		ContinueFrom        int             `json:"continue_from"`
		StreamOptions       struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return prompt{}, errors.New("body is not valid JSON: " + err.Error())
	}
	p := prompt{model: wire.Model, stream: wire.Stream, chat: chat, firstToken: wire.ContinueFrom, includeUsage: wire.StreamOptions.IncludeUsage}
	last := plainText(wire.Prompt)
	p.text = last
	if chat {
		if len(wire.Messages) == 0 {
			return prompt{}, errors.New("messages must not be empty")
		}
		var all strings.Builder
		for _, m := range wire.Messages {
			last = plainText(m.Content)
			all.WriteString(m.Role + "\x00" + last + "\x00")
		}
		p.text = all.String()
	}
	p.tokenCount = max(wire.MaxTokens, wire.MaxCompletionTokens)
	if p.tokenCount <= 0 {
		p.tokenCount = defaultAnswerTokens
	}
	p.tokenCount = min(p.tokenCount, maxAnswerTokens)
	if p.firstToken < 0 || p.firstToken > p.tokenCount {
		return prompt{}, errors.New("continue_from must lie between 0 and max_tokens")
	}
	sum := sha256.Sum256([]byte(p.text))
	p.hash = hex.EncodeToString(sum[:])[:hashDigits]
	p.words = strings.Fields(last)
	return p, nil
}

// plainText returns the text of a JSON string, or the raw JSON of any other value.
func plainText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// token returns the token with index i. Every eighth token consists of the prompt's hash and i, so that a test detects an
// answer to another prompt or a missing token; the others repeat the words of the last message.
func (p *prompt) token(i int) string {
	if i%hashTokenInterval == 0 || len(p.words) == 0 {
		return p.hash + "#" + strconv.Itoa(i) + " "
	}
	return p.words[i%len(p.words)] + " "
}

// answer returns the text of all tokens from index p.firstToken on.
func (p *prompt) answer() string {
	var text strings.Builder
	for i := p.firstToken; i < p.tokenCount; i++ {
		text.WriteString(p.token(i))
	}
	return text.String()
}

// EngineAnswer returns the text with which the engine stand-in answers a request body. Tests compare it with the answer
// that they received.
func EngineAnswer(path string, body []byte) (string, error) {
	p, err := readPrompt(body, isChat(path))
	if err != nil {
		return "", err
	}
	return p.answer(), nil
}

func isChat(path string) bool {
	return strings.HasSuffix(path, "/chat/completions")
}

type wireText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type wireChoice struct {
	Index        int       `json:"index"`
	Delta        *wireText `json:"delta,omitempty"`
	Message      *wireText `json:"message,omitempty"`
	Text         *string   `json:"text,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type wireCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

// completion returns the body of an answer that is not streamed.
func (p *prompt) completion(id string) []byte {
	stop := "stop"
	text := p.answer()
	choice := wireChoice{FinishReason: &stop}
	answer := wireCompletion{ID: "cmpl-" + id, Object: "text_completion", Model: p.model}
	if p.chat {
		answer.ID = "chatcmpl-" + id
		answer.Object = "chat.completion"
		choice.Message = &wireText{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	answer.Choices = []wireChoice{choice}
	answer.Usage = p.totalUsage()
	return mustJSON(answer)
}

// totalUsage returns the token usage of the complete answer, including any tokens that the client already had.
func (p *prompt) totalUsage() *wireUsage {
	promptTokens := len(strings.Fields(p.text))
	return &wireUsage{PromptTokens: promptTokens, CompletionTokens: p.tokenCount, TotalTokens: promptTokens + p.tokenCount}
}

// usageEvent returns the event with the usage and no choices that ends a stream whose request set include_usage.
func (p *prompt) usageEvent(id string) []byte {
	answer := wireCompletion{ID: "cmpl-" + id, Object: "text_completion", Model: p.model, Choices: []wireChoice{}, Usage: p.totalUsage()}
	if p.chat {
		answer.ID = "chatcmpl-" + id
		answer.Object = "chat.completion.chunk"
	}
	return []byte("data: " + string(mustJSON(answer)) + "\n\n")
}

// event returns the server-sent event for the token with index i.
func (p *prompt) event(id string, i int) []byte {
	text := p.token(i)
	choice := wireChoice{}
	if i == p.tokenCount-1 {
		stop := "stop"
		choice.FinishReason = &stop
	}
	answer := wireCompletion{ID: "cmpl-" + id, Object: "text_completion", Model: p.model}
	if p.chat {
		answer.ID = "chatcmpl-" + id
		answer.Object = "chat.completion.chunk"
		choice.Delta = &wireText{Content: text}
	} else {
		choice.Text = &text
	}
	answer.Choices = []wireChoice{choice}
	return []byte("data: " + string(mustJSON(answer)) + "\n\n")
}

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// ReadAnswer extracts the text from the body of an engine's answer. For a stream, whole reports whether it ended with [DONE].
func ReadAnswer(stream bool, body []byte) (text string, whole bool, err error) {
	if !stream {
		text, err = answerText(body)
		return text, err == nil, err
	}
	var all strings.Builder
	for raw := range strings.SplitSeq(strings.TrimSuffix(string(body), "\n\n"), "\n\n") {
		if whole {
			return "", false, errors.New("an event follows [DONE]")
		}
		data := strings.TrimPrefix(raw, "data: ")
		if data == "[DONE]" {
			whole = true
			continue
		}
		token, err := answerText([]byte(data))
		if err != nil {
			return "", false, err
		}
		all.WriteString(token)
	}
	return all.String(), whole, nil
}

func answerText(body []byte) (string, error) {
	var answer wireCompletion
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", err
	}
	if len(answer.Choices) != 1 {
		return "", errors.New("the answer does not have exactly one choice")
	}
	choice := answer.Choices[0]
	switch {
	case choice.Delta != nil:
		return choice.Delta.Content, nil
	case choice.Message != nil:
		return choice.Message.Content, nil
	case choice.Text != nil:
		return *choice.Text, nil
	}
	return "", errors.New("the choice has no text")
}
