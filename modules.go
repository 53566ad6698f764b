//go:build modules

package jacinthtiller

// Keeps the modules of packages that are being written in go.mod.
import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/peterbourgon/ff/v3"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/sirupsen/logrus"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/sourcegraph/conc"
	_ "github.com/xdg-go/scram"
	_ "go.etcd.io/bbolt"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/metric"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.uber.org/goleak"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/tools/txtar"
	_ "modernc.org/sqlite"
	_ "pgregory.net/rapid"
)
