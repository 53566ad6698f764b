package link

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestMarks guards against marks that are lost in transfer, an error that is taken for an answer, and
// a connection that cannot be reused after a request.
func TestMarks(t *testing.T) {
	want := jacinthtiller.MarkResponse{
		Term: 3, Marks: map[string]jacinthtiller.Position{"a": {Term: 3, Index: 7}}, Position: jacinthtiller.Position{Term: 3, Index: 9},
	}
	asked := 0
	marks := func(_ context.Context, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
		asked++
		if r.Database != "d" {
			return jacinthtiller.MarkResponse{}, errors.New("not the owner")
		}
		return want, nil
	}
	noChannel := func(context.Context) (jacinthtiller.Channel, error) { return nil, errors.New("no channel") }
	convey.Convey("Marks are requested over the link", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		s := NewServer(noChannel, WithMarks(marks))
		var group conc.WaitGroup
		group.Go(func() { _ = s.Serve(l) })
		defer group.Wait()
		defer s.Close()
		dials := 0
		o := NewOpener("self", noChannel, func(string) (string, bool) { return l.Addr().String(), true },
			WithLocalMarks(marks), WithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
				dials++
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}))
		defer o.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		ask := func(host, database string) (jacinthtiller.MarkResponse, error) {
			return o.RequestMarks(ctx, host, jacinthtiller.MarkRequest{Database: database, Guests: []string{"a"}})
		}
		for range 3 {
			got, err := ask("other", "d")
			convey.So(err, convey.ShouldBeNil)
			convey.So(got, convey.ShouldResemble, want)
		}
		_, err = ask("other", "e")
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(err.Error(), convey.ShouldContainSubstring, "not the owner")
		got, err := ask("other", "d")
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, want)
		convey.So(dials, convey.ShouldEqual, 1)

		_, err = ask("self", "d")
		convey.So(err, convey.ShouldBeNil)
		convey.So(dials, convey.ShouldEqual, 1)
		convey.So(asked, convey.ShouldEqual, 6)
	})
}
