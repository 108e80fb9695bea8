package berylgate

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const servicesPrefix = "/services/"

func (g *Gate) serveService(c fiber.Ctx) error {
	x := exchangeOf(c)
	x.route = "services"
	options, refusal := x.options(c)
	if refusal != nil {
		return refusal
	}
	ctx := c.RequestCtx()
	service, path, refusal := x.servicePath(ctx.URI())
	if refusal != nil {
		return refusal
	}
	if isNeverRepeat(service, path) {
		options.neverRepeat = true
	}
	if options.neverRepeat && options.idempotencyKey == "" {
		return missingKey()
	}
	body, refusal := x.readBody(ctx, x.index.rules.MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	return g.serveCall(c, x, options, berylcall.Request{
		ID:          x.id,
		Target:      service.Name,
		Method:      strings.Clone(c.Method()),
		Path:        path,
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        body,
		Stream:      bytes.Contains(ctx.Request.Header.Peek(fasthttp.HeaderAccept), []byte(contentTypeStream)),
		Repeatable:  !options.neverRepeat && (options.idempotencyKey != "" || isIdempotent(c.Method())),
		Class:       options.class,
		Deadline:    options.deadline,
	})
}

// servicePath returns the service that the path names, and the path and query to request from its upstreams, which are
// unchanged from the caller's.
func (x *exchange) servicePath(uri *fasthttp.URI) (*berylconf.Service, string, *beryloutcome.Refusal) {
	original := string(uri.PathOriginal())
	if !isCanonical(original) {
		return nil, "", badRequest("path", `The path must not hold "//", ".", "..", "\" or their escaped forms; send it in its plain form.`)
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(original, servicesPrefix), "/")
	service := x.index.services[name]
	if service == nil {
		return nil, "", &beryloutcome.Refusal{
			Status:  http.StatusNotFound,
			Code:    beryloutcome.CodeNotFound,
			Message: fmt.Sprintf("The service %q is not in the inventory; check the name in the path.", name),
			Param:   "path",
		}
	}
	path := "/" + rest
	if query := uri.QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	return service, path, nil
}

// isCanonical reports whether every server resolves the path to the same resource. Otherwise a caller could bypass the
// never-repeat paths with another spelling.
func isCanonical(path string) bool {
	decoded, err := url.PathUnescape(path)
	if err != nil || strings.Count(decoded, "/") != strings.Count(path, "/") {
		return false
	}
	if strings.ContainsAny(decoded, "\\\x00") || strings.Contains(decoded, "//") {
		return false
	}
	for segment := range strings.SplitSeq(decoded, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// isNeverRepeat reports whether the inventory says that requests for the canonical path run at most once. It ignores case,
// since some servers do.
func isNeverRepeat(service *berylconf.Service, path string) bool {
	path, _, _ = strings.Cut(path, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return true
	}
	for _, prefix := range service.NeverRepeat {
		if len(decoded) >= len(prefix) && strings.EqualFold(decoded[:len(prefix)], prefix) {
			return true
		}
	}
	return false
}

// isIdempotent reports whether HTTP defines the method as idempotent.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
