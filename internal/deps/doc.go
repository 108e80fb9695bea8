// Package deps keeps declared libraries in go.mod until the slices import them; it goes when they all do.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alecthomas/kong"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/cockroachdb/errors"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/gofiber/fiber/v3"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/matryer/is"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sirupsen/logrus"
	_ "github.com/sourcegraph/conc"
	_ "github.com/tailscale/hujson"
	_ "github.com/valyala/fasthttp"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
