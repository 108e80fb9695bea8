package berylserve

import (
	"context"
	"net/http"
	"time"
)

const (
	operatorHeaderTimeout = 5 * time.Second
	operatorStopTimeout   = time.Second
)

// serveOperators answers metrics and health on the operators' listener until ctx ends.
func (h *Host) serveOperators(ctx context.Context) {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { h.metrics.WritePrometheus(w) })
	routes.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	routes.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			http.Error(w, "no configuration yet, or still joining the other hosts", http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: routes, ReadHeaderTimeout: operatorHeaderTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		grace, cancel := context.WithTimeout(context.Background(), operatorStopTimeout)
		defer cancel()
		_ = server.Shutdown(grace)
	}()
	_ = server.Serve(h.operators)
	<-stopped
}
