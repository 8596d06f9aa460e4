//go:build deps

package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alexflint/go-arg"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/gin-gonic/gin"
	_ "github.com/google/uuid"
	_ "github.com/juju/errors"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/sirupsen/logrus"
	_ "github.com/stretchr/testify/require"
	_ "github.com/twitchtv/twirp"
	_ "go.uber.org/fx"
	_ "go.uber.org/goleak"
	_ "golang.org/x/text/unicode/norm"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
