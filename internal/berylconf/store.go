package berylconf

import "sync"

// Store holds the installed configuration; it only ever moves to a higher revision. Its zero value is empty and ready.
type Store struct {
	mu      sync.RWMutex
	current *Document
	changed chan struct{}
}

// Current returns the installed configuration, which must not be changed, or nil before the first.
func (s *Store) Current() *Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// Revision returns the installed revision, or zero before the first.
func (s *Store) Revision() int64 {
	if document := s.Current(); document != nil {
		return document.Revision
	}
	return 0
}

// Rules returns the installed rules with their defaults filled in.
func (s *Store) Rules() Rules {
	if document := s.Current(); document != nil {
		return document.Rules
	}
	return Rules{}.WithDefaults()
}

// Install takes a configuration of a higher revision and reports whether it did; an equal or lower one is left aside.
func (s *Store) Install(document *Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && document.Revision <= s.current.Revision {
		return false
	}
	filled := *document
	filled.Rules = document.Rules.WithDefaults()
	s.current = &filled
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return true
}

// Changed returns a channel that is closed at the next installation.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
