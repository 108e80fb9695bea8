package berylgate

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync/atomic"

	"berylroad.example/berylroad/internal/berylconf"
)

// configIndex is what requests are checked against, built once for each configuration.
type configIndex struct {
	document *berylconf.Document
	rules    berylconf.Rules
	callers  map[[sha256.Size]byte]*berylconf.Caller
	models   []string
	services map[string]*berylconf.Service
}

// configIndexCache keeps the lookup of the newest document.
type configIndexCache struct {
	current atomic.Pointer[configIndex]
}

// get returns the lookup get a document, or nil for a nil document.
func (l *configIndexCache) get(document *berylconf.Document) *configIndex {
	if document == nil {
		return nil
	}
	if current := l.current.Load(); current != nil && current.document == document {
		return current
	}
	built := newConfigIndex(document)
	l.current.Store(built)
	return built
}

func newConfigIndex(document *berylconf.Document) *configIndex {
	l := &configIndex{
		document: document,
		rules:    document.Rules.WithDefaults(),
		callers:  make(map[[sha256.Size]byte]*berylconf.Caller, len(document.Inventory.Callers)),
		services: make(map[string]*berylconf.Service, len(document.Inventory.Services)),
	}
	for i := range document.Inventory.Callers {
		l.addCaller(&document.Inventory.Callers[i])
	}
	for i := range document.Inventory.Services {
		service := &document.Inventory.Services[i]
		l.services[service.Name] = service
	}
	for _, u := range document.Inventory.Upstreams {
		l.addUpstream(u)
	}
	slices.Sort(l.models)
	l.models = slices.Compact(l.models)
	return l
}

func (l *configIndex) addCaller(caller *berylconf.Caller) {
	hash, err := hex.DecodeString(caller.KeyHash)
	if err != nil || len(hash) != sha256.Size {
		return
	}
	l.callers[[sha256.Size]byte(hash)] = caller
}

func (l *configIndex) addUpstream(u berylconf.Upstream) {
	if u.Service == "" {
		l.models = append(l.models, u.Models...)
		return
	}
	if l.services[u.Service] == nil {
		l.services[u.Service] = &berylconf.Service{Name: u.Service}
	}
}

// caller returns the account of an API key, or nil.
func (l *configIndex) caller(key []byte) *berylconf.Caller {
	return l.callers[sha256.Sum256(key)]
}

func (l *configIndex) hasModel(name string) bool {
	_, found := slices.BinarySearch(l.models, name)
	return found
}
