package berylserve

import (
	"context"
	"sync/atomic"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryllimit"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// callerLimits implements berylgate.Limits: it passes the limits of a configured caller to the limiter.
type callerLimits struct {
	limiter *beryllimit.Limiter
}

// Take counts one request against the caller's limits, or refuses it.
func (c callerLimits) Take(ctx context.Context, caller *berylconf.Caller, tokens int) (func(), *beryloutcome.Refusal) {
	account := accountOf(caller)
	return c.limiter.Take(ctx, &account, tokens)
}

func accountOf(caller *berylconf.Caller) beryllimit.Account {
	return beryllimit.Account{
		Name: caller.Name, RequestsPerSecond: caller.RequestsPerSecond, TokensPerMinute: caller.TokensPerMinute, Concurrent: caller.Concurrent,
	}
}

// callerIndex maps names to the callers of one configuration document.
type callerIndex struct {
	document *berylconf.Document
	byName   map[string]*berylconf.Caller
}

// callerIndexes holds the index of the document in force. It is rebuilt when the document has changed.
type callerIndexes struct {
	current atomic.Pointer[callerIndex]
}

// account returns the limits of the caller of that name in a document, and false if the document has no such caller.
func (c *callerIndexes) account(document *berylconf.Document, name string) (beryllimit.Account, bool) {
	if document == nil {
		return beryllimit.Account{}, false
	}
	index := c.current.Load()
	if index == nil || index.document != document {
		index = newCallerIndex(document)
		c.current.Store(index)
	}
	caller := index.byName[name]
	if caller == nil {
		return beryllimit.Account{}, false
	}
	return accountOf(caller), true
}

func newCallerIndex(document *berylconf.Document) *callerIndex {
	index := &callerIndex{document: document, byName: make(map[string]*berylconf.Caller)}
	for i := range document.Inventory.Callers {
		caller := &document.Inventory.Callers[i]
		index.byName[caller.Name] = caller
	}
	return index
}
