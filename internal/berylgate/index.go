package berylgate

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync/atomic"

	"berylroad.example/berylroad/internal/berylconf"
)

// configIndex holds the parts of a configuration that requests are checked against, indexed by API key hash, model and
// service. It is built once for each configuration.
type configIndex struct {
	document *berylconf.Document
	rules    berylconf.Rules
	callers  map[[sha256.Size]byte]*berylconf.Caller
	models   []string
	services map[string]*berylconf.Service
}

// configIndexCache keeps the index of the configuration that was requested last.
type configIndexCache struct {
	current atomic.Pointer[configIndex]
}

// get returns the index of a configuration, or nil for a nil document.
func (c *configIndexCache) get(document *berylconf.Document) *configIndex {
	if document == nil {
		return nil
	}
	if current := c.current.Load(); current != nil && current.document == document {
		return current
	}
	built := newConfigIndex(document)
	c.current.Store(built)
	return built
}

func newConfigIndex(document *berylconf.Document) *configIndex {
	idx := &configIndex{
		document: document,
		rules:    document.Rules.WithDefaults(),
		callers:  make(map[[sha256.Size]byte]*berylconf.Caller, len(document.Inventory.Callers)),
		services: make(map[string]*berylconf.Service, len(document.Inventory.Services)),
	}
	for i := range document.Inventory.Callers {
		idx.addCaller(&document.Inventory.Callers[i])
	}
	for i := range document.Inventory.Services {
		service := &document.Inventory.Services[i]
		idx.services[service.Name] = service
	}
	for _, u := range document.Inventory.Upstreams {
		idx.addUpstream(u)
	}
	slices.Sort(idx.models)
	idx.models = slices.Compact(idx.models)
	return idx
}

func (idx *configIndex) addCaller(caller *berylconf.Caller) {
	hash, err := hex.DecodeString(caller.KeyHash)
	if err != nil || len(hash) != sha256.Size {
		return
	}
	idx.callers[[sha256.Size]byte(hash)] = caller
}

func (idx *configIndex) addUpstream(u berylconf.Upstream) {
	if u.Service == "" {
		idx.models = append(idx.models, u.Models...)
		return
	}
	if idx.services[u.Service] == nil {
		idx.services[u.Service] = &berylconf.Service{Name: u.Service}
	}
}

// caller returns the client account of an API key, or nil.
func (idx *configIndex) caller(key []byte) *berylconf.Caller {
	return idx.callers[sha256.Sum256(key)]
}

func (idx *configIndex) hasModel(name string) bool {
	_, found := slices.BinarySearch(idx.models, name)
	return found
}
