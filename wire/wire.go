// Package wire provides the RPC layer between processes: connect with a CBOR
// codec for our own processes and a JSON codec for targets, and the names of
// the procedures.
package wire

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"

	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// compressMinBytes is the minimum size of compressed answers. Views are compressed; for the small answers of the
// statement path, compression costs more than the call itself.
const compressMinBytes = 4096

// dialTimeout bounds the opening of a connection between processes. It is ten times the round trip between regions.
const dialTimeout = 250 * time.Millisecond

// MaxMessageBytes bounds one message in either direction.
const MaxMessageBytes = 64 << 20

// The procedures of entry hosts.
const (
	ProcAnnounce     = "/jacinthtiller.host/announce"
	ProcFence        = "/jacinthtiller.host/fence"
	ProcWaitPosition = "/jacinthtiller.host/wait-position"
	ProcMark         = "/jacinthtiller.host/mark"
	ProcView         = "/jacinthtiller.host/view"
)

// The procedures of control processes.
const (
	ProcRegister       = "/jacinthtiller.control/register"
	ProcRenew          = "/jacinthtiller.control/renew"
	ProcRenewMany      = "/jacinthtiller.control/renew-many"
	ProcPlace          = "/jacinthtiller.control/place"
	ProcRelease        = "/jacinthtiller.control/release"
	ProcObserve        = "/jacinthtiller.control/observe"
	ProcLost           = "/jacinthtiller.control/lost"
	ProcOverload       = "/jacinthtiller.control/overload"
	ProcWatch          = "/jacinthtiller.control/watch"
	ProcStep           = "/jacinthtiller.control/step"
	ProcSectionGet     = "/jacinthtiller.control/section-get"
	ProcSectionApply   = "/jacinthtiller.control/section-apply"
	ProcSectionHistory = "/jacinthtiller.control/section-history"
	ProcStatus         = "/jacinthtiller.control/status"
	ProcMembers        = "/jacinthtiller.control/members"
	ProcJoin           = "/jacinthtiller.control/join"
	ProcMemberChange   = "/jacinthtiller.control/member-change"
	ProcMovePrimary    = "/jacinthtiller.control/move-primary"
	ProcTargetLeave    = "/jacinthtiller.control/target-leave"
)

// CBOR is the codec between our own processes; it is named "cbor".
type CBOR struct{}

// Name returns the name used in the content type.
func (CBOR) Name() string { return "cbor" }

// Marshal encodes a struct with cbor tags.
func (CBOR) Marshal(m any) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T as cbor: %w", m, err)
	}
	return b, nil
}

// decoding accepts texts that are not UTF-8: those of guests and targets may hold any bytes.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Decode decodes CBOR that another process of this program has encoded. Texts may hold any bytes.
func Decode(b []byte, v any) error { return decoding.Unmarshal(b, v) }

// Unmarshal decodes into a struct with cbor tags; unknown keys are ignored so that fields can be added.
func (CBOR) Unmarshal(b []byte, m any) error {
	if err := cbor.Unmarshal(b, m); err != nil {
		return fmt.Errorf("decode cbor as %T: %w", m, err)
	}
	return nil
}

// JSON is the codec for targets and for people who use a plain HTTP client; it is named "json".
type JSON struct{}

// Name returns the name used in the content type.
func (JSON) Name() string { return "json" }

// Marshal encodes a struct with json tags.
func (JSON) Marshal(m any) ([]byte, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T as json: %w", m, err)
	}
	return b, nil
}

// Unmarshal decodes into a struct with json tags.
func (JSON) Unmarshal(b []byte, m any) error {
	if err := json.Unmarshal(b, m); err != nil {
		return fmt.Errorf("decode json as %T: %w", m, err)
	}
	return nil
}

// HandlerOptions returns the options of every handler.
// A panic in one call is logged and ends only that call.
func HandlerOptions(events *event.Log) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCodec(CBOR{}),
		connect.WithCodec(JSON{}),
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithRecover(func(_ context.Context, s connect.Spec, _ http.Header, panicValue any) error {
			duty.LogPanic(events, "answer a call", event.Fields{"procedure": s.Procedure}, panicValue)
			return connect.NewError(connect.CodeInternal, errPanic)
		}),
	}
}

// errPanic is the answer to a call that panicked.
var errPanic = errors.New("a fault of the program ended the call; its log has the stack")

// RecoverPanics wraps h so that a panic in one call is logged and ends only that call.
func RecoverPanics(events *event.Log, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fields := event.Fields{"method": r.Method, "path": r.URL.Path}
		if !duty.Run(events, "answer a call", fields, func() { h.ServeHTTP(w, r) }) {
			http.Error(w, errPanic.Error(), http.StatusInternalServerError)
		}
	})
}

// ClientOptions returns the options of every client between our own processes.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithCodec(CBOR{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
	}
}

// Dialer opens connections, like net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// HTTPOption configures the client that NewHTTPClient returns.
type HTTPOption func(*http.Transport)

// WithTLS uses the configuration that f returns for the host of an https URL.
func WithTLS(f func(host string) *tls.Config) HTTPOption {
	return func(t *http.Transport) {
		t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, fmt.Errorf("address of a TLS connection: %w", err)
			}
			dial := t.DialContext
			if dial == nil {
				dial = (&net.Dialer{}).DialContext
			}
			raw, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c := tls.Client(raw, f(host))
			if err := c.HandshakeContext(ctx); err != nil {
				_ = raw.Close()
				return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
			}
			return c, nil
		}
	}
}

// WithDialer opens connections through d.
func WithDialer(d Dialer) HTTPOption { return func(t *http.Transport) { t.DialContext = d } }

// NewHTTPClient returns a client that keeps connections per host open. Requests are bounded by their context.
func NewHTTPClient(opts ...HTTPOption) *http.Client {
	t := &http.Transport{
		// Without a timeout, a connection to a host that is down is retried after one second at the earliest, and the
		// call that waits for it tries no other host.
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        256,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
	for _, o := range opts {
		o(t)
	}
	return &http.Client{Transport: t}
}
