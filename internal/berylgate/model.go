package berylgate

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// modelEntry is one model in the format of the OpenAI API.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelRoute returns the handler of a model route, whose requests have their prompt in the field promptField.
func (g *Gate) modelRoute(route, promptField string) fiber.Handler {
	return func(c fiber.Ctx) error {
		return g.serveModel(c, route, promptField)
	}
}

func (g *Gate) serveModel(c fiber.Ctx, route, promptField string) error {
	x := exchangeOf(c)
	x.route = route
	options, refusal := x.options(c)
	if refusal != nil {
		return refusal
	}
	if refusal := checkJSON(&c.RequestCtx().Request.Header); refusal != nil {
		return refusal
	}
	body, refusal := x.readBody(c.RequestCtx(), x.index.rules.MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	model, refusal := parseModelCall(body, promptField)
	if refusal != nil {
		return refusal
	}
	if !x.index.hasModel(model.model) {
		return unknownModel(model.model)
	}
	return g.serveCall(c, x, options, berylcall.Request{
		ID:          x.id,
		Target:      model.model,
		Method:      http.MethodPost,
		Path:        string(c.RequestCtx().URI().RequestURI()),
		ContentType: contentTypeJSON,
		Body:        body,
		Stream:      model.stream,
		Repeatable:  !options.neverRepeat,
		Class:       options.class,
		Deadline:    options.deadline,
		Tokens:      model.tokens,
		PrefixHash:  model.prefix,
	})
}

// options reads the request's headers under the configuration in force and records the class for the metrics.
func (x *exchange) options(c fiber.Ctx) (requestOptions, *beryloutcome.Refusal) {
	t, refusal := readOptions(&c.RequestCtx().Request.Header, &x.index.rules, x.started)
	x.class = t.class.String()
	return t, refusal
}

// checkJSON refuses a request whose headers declare a body other than uncompressed JSON.
func checkJSON(h *fasthttp.RequestHeader) *beryloutcome.Refusal {
	kind, _, _ := bytes.Cut(h.ContentType(), []byte(";"))
	if !bytes.EqualFold(bytes.TrimSpace(kind), []byte(contentTypeJSON)) {
		return unsupported(fasthttp.HeaderContentType, "Content-Type must be application/json.")
	}
	return checkEncoding(h)
}

// checkEncoding refuses a compressed body, since the limit on the body would not bound its decompressed size.
func checkEncoding(h *fasthttp.RequestHeader) *beryloutcome.Refusal {
	encoding := h.Peek(fasthttp.HeaderContentEncoding)
	if len(encoding) > 0 && !bytes.EqualFold(encoding, []byte("identity")) {
		return unsupported(fasthttp.HeaderContentEncoding, "Content-Encoding must be left out; send the body uncompressed.")
	}
	return nil
}

func unsupported(param, message string) *beryloutcome.Refusal {
	refusal := badRequest(param, message)
	refusal.Status = http.StatusUnsupportedMediaType
	return refusal
}

func unknownModel(name string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusNotFound,
		Code:    beryloutcome.CodeNotFound,
		Message: fmt.Sprintf("The model %q is not served here; GET /v1/models lists those that are.", name),
		Param:   "model",
	}
}

func (g *Gate) listModels(c fiber.Ctx) error {
	x := exchangeOf(c)
	x.route = "models"
	list := struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{Object: "list", Data: make([]modelEntry, 0, len(x.index.models))}
	for _, name := range x.index.models {
		list.Data = append(list.Data, newModelEntry(name))
	}
	return c.JSON(list)
}

func (g *Gate) getModel(c fiber.Ctx) error {
	x := exchangeOf(c)
	x.route = "models"
	name, err := url.PathUnescape(c.Params("*"))
	if err != nil || !x.index.hasModel(name) {
		return unknownModel(name)
	}
	return c.JSON(newModelEntry(name))
}

func newModelEntry(name string) modelEntry {
	return modelEntry{ID: name, Object: "model", OwnedBy: "berylroad"}
}
