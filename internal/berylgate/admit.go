package berylgate

import (
	"context"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// authenticate is the handler that identifies the caller by the request's API key.
func (g *Gate) authenticate(c fiber.Ctx) error {
	x := exchangeOf(c)
	x.index = g.indexes.get(g.config.Document())
	if x.index == nil {
		return notRun("This host has no configuration yet; send the request again.")
	}
	x.caller = x.index.caller(bearer(&c.RequestCtx().Request.Header))
	if x.caller == nil {
		return &beryloutcome.Refusal{
			Status:  fiber.StatusUnauthorized,
			Code:    beryloutcome.CodeUnauthorized,
			Message: `The API key is missing or unknown; send "Authorization: Bearer KEY".`,
			Param:   fasthttp.HeaderAuthorization,
		}
	}
	return c.Next()
}

// admit counts the request as in flight on this host and against the caller's limits until the exchange ends, or returns a
// refusal.
func (x *exchange) admit(tokens int) *beryloutcome.Refusal {
	g := x.gate
	if g.inFlight.Add(1) > int64(g.config.MaxConcurrent) {
		g.inFlight.Add(-1)
		return notRun("This host has too many requests in flight and has not run this one; send it again.")
	}
	x.release = g.releaseSlot
	if g.config.Limits == nil {
		return nil
	}
	release, refusal := g.config.Limits.Take(g.baseContext, x.caller, tokens)
	if refusal != nil {
		return refusal
	}
	x.release = func() {
		release()
		g.releaseSlot()
	}
	return nil
}

// releaseSlot removes one request from those counted as in flight on this host.
func (g *Gate) releaseSlot() {
	g.inFlight.Add(-1)
}

// admitMounted is the handler that runs before those of the routes that Config.Mount registers. It admits the request,
// reads its body within the configured limit and gives the context the request's deadline.
func (g *Gate) admitMounted(c fiber.Ctx) error {
	x := exchangeOf(c)
	options, refusal := x.options(c)
	if refusal != nil {
		return refusal
	}
	if refusal := x.admit(0); refusal != nil {
		return refusal
	}
	ctx := c.RequestCtx()
	if refusal := checkEncoding(&ctx.Request.Header); refusal != nil {
		return refusal
	}
	body, refusal := x.readBody(ctx, x.index.rules.MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	ctx.Request.SetBodyRaw(body)
	bounded, cancel := context.WithDeadline(g.baseContext, options.deadline)
	defer cancel()
	c.SetContext(bounded)
	err := c.Next()
	x.route = strings.Clone(c.Route().Path)
	return err
}

// CallerOf returns the authenticated caller of a request on a mounted route.
func CallerOf(c fiber.Ctx) *berylconf.Caller {
	return exchangeOf(c).caller
}

// RequestIDOf returns the id of a request on a mounted route. The id is unique in the fleet.
func RequestIDOf(c fiber.Ctx) string {
	return exchangeOf(c).id
}

// Refuse answers a request on a mounted route with a refusal, in the OpenAI error format. Handlers return its result.
func Refuse(_ fiber.Ctx, refusal *beryloutcome.Refusal) error {
	return asError(refusal)
}
