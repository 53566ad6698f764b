package relay

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

// fakeLimits grants the tokens that are asked for, and refuses share 1.
type fakeLimits struct {
	mu       sync.Mutex
	requests []jacinthtiller.TokenRequest
}

func (f *fakeLimits) GrantTokens(r jacinthtiller.TokenRequest) jacinthtiller.TokenReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	if r.Share == 1 {
		return jacinthtiller.TokenReply{Refusal: jacinthtiller.TokensHandover, RetryAfterMicroseconds: 7}
	}
	return jacinthtiller.TokenReply{Granted: r.Tokens, LifetimeMicroseconds: 300000, RetryAfterMicroseconds: 5}
}

// TestTokenRequests guards against token requests that reach the host changed, against freshness queries that are answered
// as token requests, and against a connection for each request.
func TestTokenRequests(t *testing.T) {
	convey.Convey("A host that administers limits", t, func() {
		p := pool.New(&fakeTargets{}, dialect{}, pool.WithHost("gateway"))
		source := &fakeLimits{}
		s := NewServer(p, "rollback", nil, WithFreshness(fakeSource{}), WithLimits(source))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		var group conc.WaitGroup
		group.Go(func() { s.Serve(l) })
		x, freshness := NewLimitClient(), NewFreshnessClient()
		defer func() {
			x.Close()
			freshness.Close()
			_ = l.Close()
			s.Close()
			group.Wait()
			p.Close()
		}()
		address, deadline := l.Addr().String(), time.Now().Add(5*time.Second)
		request := jacinthtiller.TokenRequest{Account: "a", Share: 0, Tokens: 3}
		for range 3 {
			reply, err := x.RequestTokens(address, request, deadline)
			convey.So(err, convey.ShouldBeNil)
			convey.So(reply, convey.ShouldResemble, (&fakeLimits{}).GrantTokens(request))
		}
		refused := jacinthtiller.TokenRequest{Account: "b", Share: 1, Tokens: 1}
		reply, err := x.RequestTokens(address, refused, deadline)
		convey.So(err, convey.ShouldBeNil)
		convey.So(reply, convey.ShouldResemble, (&fakeLimits{}).GrantTokens(refused))
		convey.So(source.requests, convey.ShouldResemble, []jacinthtiller.TokenRequest{request, request, request, refused})
		answer, err := freshness.QueryFreshness(address, jacinthtiller.FreshnessQuery{Database: "db", Term: 4, AgeMicroseconds: 100}, deadline)
		convey.So(err, convey.ShouldBeNil)
		convey.So(answer, convey.ShouldResemble, fakeAnswer(4))
		s.mu.Lock()
		conns := len(s.conns)
		s.mu.Unlock()
		convey.So(conns, convey.ShouldEqual, 2)
	})
}

// TestHelloEncoding guards against hellos that hosts of the previous version cannot decode.
func TestHelloEncoding(t *testing.T) {
	convey.Convey("Hellos are arrays of two texts", t, func() {
		for name, c := range map[string]struct {
			hello hello
			want  []byte
		}{
			"target":    {hello{Database: "d", Target: "t"}, []byte{0x82, 0x61, 'd', 0x61, 't'}},
			"freshness": {hello{}, []byte{0x82, 0x60, 0x60}},
			"tokens":    {hello{Database: tokenConnections}, []byte{0x82, 0x67, 0, 't', 'o', 'k', 'e', 'n', 's', 0x60}},
		} {
			convey.Convey(name, func() {
				b, err := cbor.Marshal(c.hello)
				convey.So(err, convey.ShouldBeNil)
				convey.So(b, convey.ShouldResemble, c.want)
			})
		}
	})
}

// BenchmarkTokenRequests measures a request and its reply over a connection that is kept, and their bytes without those of TCP.
func BenchmarkTokenRequests(b *testing.B) {
	p := pool.New(&fakeTargets{}, dialect{}, pool.WithHost("gateway"))
	s := NewServer(p, "rollback", nil, WithLimits(&fakeLimits{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() { s.Serve(l) })
	x := NewLimitClient()
	defer func() {
		x.Close()
		_ = l.Close()
		s.Close()
		group.Wait()
		p.Close()
	}()
	for b.Loop() {
		if _, err := x.RequestTokens(l.Addr().String(), jacinthtiller.TokenRequest{Account: "account-1", Tokens: 1}, time.Now().Add(5*time.Second)); err != nil {
			b.Fatal(err)
		}
	}
	request, _ := cbor.Marshal(tokenRequest{Account: "account-1", Tokens: 10})
	reply, _ := cbor.Marshal(tokenReply{Granted: 10, LifetimeMicros: 300000, RetryMicros: 100000})
	b.ReportMetric(float64(len(request)+headerBytes), "B/request")
	b.ReportMetric(float64(len(reply)+headerBytes), "B/reply")
}
