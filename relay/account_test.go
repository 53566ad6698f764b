package relay

import (
	"context"
	"encoding/hex"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

// accountDialer records the accounts for which connections are opened.
type accountDialer struct {
	*fakeTargets
	accounts []string // guarded by fakeTargets.mu
}

func (f *accountDialer) Dial(ctx context.Context, t jacinthtiller.Target, account string) (jacinthtiller.TargetConn, error) {
	f.mu.Lock()
	f.accounts = append(f.accounts, account)
	f.mu.Unlock()
	return f.fakeTargets.Dial(ctx, t, account)
}

func (f *accountDialer) dialed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.accounts...)
}

// sentFrame returns the payload that a client connection sends for the job.
func sentFrame(j jacinthtiller.Job) []byte {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = (&clientConn{nc: near, f: newFramer(near)}).Start(j) })
	var p cbor.RawMessage
	_ = newFramer(far).read(&p)
	return p
}

// TestAccountOfJob guards against jobs without an account that hosts of the previous version cannot decode, and against jobs
// that run without their account.
func TestAccountOfJob(t *testing.T) {
	convey.Convey("A job", t, func() {
		j := jacinthtiller.Job{
			TargetRequest: jacinthtiller.TargetRequest{ID: "7", Text: "read"}, Route: "r", Guest: "g", Repeatable: true,
		}
		convey.Convey("without an account is encoded as by the previous version", func() {
			convey.So(hex.EncodeToString(sentFrame(j)), convey.ShouldEqual, "8c0200000061726167613764726561640000f6f6")
		})
		convey.Convey("keeps its account", func() {
			for _, account := range []string{"", "x"} {
				j.Account = account
				var in receivedJob
				convey.So(cbor.Unmarshal(sentFrame(j), &in), convey.ShouldBeNil)
				got := in.decode(time.Now())
				convey.So(got.Account, convey.ShouldEqual, account)
				convey.So(got.ID+got.Text+got.Route+got.Guest, convey.ShouldEqual, "7readrg")
				convey.So(got.Repeatable, convey.ShouldBeTrue)
			}
		})
		convey.Convey("runs on a connection of its account at the relaying host", func() {
			f := &accountDialer{fakeTargets: &fakeTargets{}}
			p := pool.New(f, dialect{}, pool.WithHost("h0"))
			defer p.Close()
			target := jacinthtiller.Target{Name: "a", Database: "db", Address: "10.0.0.1:1", State: jacinthtiller.StateServing}
			p.Apply(jacinthtiller.View{
				Index: 1, Hosts: map[string]jacinthtiller.Host{"h0": {Name: "h0"}},
				Databases: map[string]jacinthtiller.Database{"db": jacinthtiller.Database{Name: "db", Direct: true}.WithTarget(target)},
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			convey.So(err, convey.ShouldBeNil)
			s := NewServer(p, "rollback", nil)
			var group conc.WaitGroup
			group.Go(func() { s.Serve(l) })
			defer func() {
				l.Close()
				s.Close()
				group.Wait()
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			c, err := Dialer{}.DialRelay(ctx, l.Addr().String(), target, false)
			convey.So(err, convey.ShouldBeNil)
			defer c.Close()
			for _, account := range []string{"x", "y", "", "x"} {
				j.Account, j.Deadline = account, time.Now().Add(5*time.Second)
				convey.So(c.Start(j), convey.ShouldBeNil)
				_, err := c.Receive(j.Deadline)
				convey.So(err, convey.ShouldBeNil)
			}
			convey.So(f.dialed(), convey.ShouldResemble, []string{"x", "y", ""})
		})
	})
}

// FuzzReceivedJob guards against panics on malicious jobs.
func FuzzReceivedJob(f *testing.F) {
	f.Add(sentFrame(jacinthtiller.Job{Account: "x"}))
	f.Add(sentFrame(jacinthtiller.Job{}))
	f.Add([]byte{accountJobHeader, 0xf6, 0xf6})
	f.Fuzz(func(_ *testing.T, p []byte) {
		var in receivedJob
		if cbor.Unmarshal(p, &in) == nil {
			in.decode(time.Now())
		}
	})
}
