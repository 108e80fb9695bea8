package berylserve

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	// operatorTimeout bounds reading one request of an operator and writing its response.
	operatorTimeout = 5 * time.Second
	// operatorStopTimeout bounds the shutdown of the operators' listener.
	operatorStopTimeout = time.Second
)

// serveOperators serves the metrics and health endpoints on the operators' listener until ctx ends.
func (h *Host) serveOperators(ctx context.Context) {
	app := fiber.New(fiber.Config{ReadTimeout: operatorTimeout, WriteTimeout: operatorTimeout})
	app.Get("/metrics", func(c fiber.Ctx) error {
		h.metrics.WritePrometheus(c)
		return nil
	})
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendStatus(fiber.StatusOK) })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if !h.ready() {
			return c.Status(fiber.StatusServiceUnavailable).SendString("no configuration yet, or still joining the other hosts")
		}
		return c.SendStatus(fiber.StatusOK)
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		_ = app.ShutdownWithTimeout(operatorStopTimeout)
	}()
	if err := app.Listener(h.operatorListener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		h.Log.WithError(err).Error("operator listener failed")
	}
	<-stopped
}
