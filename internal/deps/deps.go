// Package deps keeps the chosen libraries in go.mod until their first use.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/gaissmai/bart"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/go-hclog"
	_ "github.com/hashicorp/yamux"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/stretchr/testify/require"
	_ "github.com/tailscale/hujson"
	_ "github.com/zeromicro/go-zero/rest"
	_ "github.com/zeromicro/go-zero/rest/httpc"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
