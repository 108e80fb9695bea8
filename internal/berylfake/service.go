package berylfake

import (
	"net/http"
	"time"
)

// ServiceOptions configures a plain service stand-in.
type ServiceOptions struct {
	// WorkTime is the time that each request takes.
	WorkTime time.Duration
}

// Service simulates a plain HTTP service: it answers with an echo of the request and counts each request by its body.
type Service struct {
	server
	options ServiceOptions
}

// StartService starts a plain service stand-in on a TCP address. It fails if it cannot listen there.
func StartService(addr string, options ServiceOptions) (*Service, error) {
	s := &Service{options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.echo)
	if err := s.serve(addr, mux); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	x := s.begin(w, r, body)
	if x == nil {
		return
	}
	x.tokenTime = func() time.Duration { return s.options.WorkTime }
	if !x.generateToken(0) {
		x.end(false)
		return
	}
	x.writeAnswer(ServiceAnswer(r.Method, r.URL.RequestURI(), body))
}

// ServiceAnswer returns the body with which the service stand-in answers a request.
func ServiceAnswer(method, path string, body []byte) []byte {
	return mustJSON(struct {
		Method string `json:"method"`
		Path   string `json:"path"`
		Body   string `json:"body"`
	}{method, path, string(body)})
}
