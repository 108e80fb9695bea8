package berylconf

import "sync"

// Store holds the installed configuration. Its revision never decreases. The zero value is an empty store, ready for use.
type Store struct {
	mu      sync.RWMutex
	current *Document
	changed chan struct{} // the channel that Changed returns; nil if it has not been called since the last installation
}

// Current returns the installed configuration, or nil before the first. The caller must not change it.
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

// Rules returns the installed rules with defaults filled in; before the first configuration, all are defaults.
func (s *Store) Rules() Rules {
	if document := s.Current(); document != nil {
		return document.Rules
	}
	return Rules{}.WithDefaults()
}

// Install replaces the configuration with one of a higher revision and reports whether it did. An equal or lower revision is
// ignored.
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
