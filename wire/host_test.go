package wire_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// fakeHost derives its answers from the requests and rejects announcements without a target.
type fakeHost struct{ jacinthtiller.Peer }

func (fakeHost) Announce(_ context.Context, a jacinthtiller.Announcement) (jacinthtiller.AnnounceResponse, error) {
	if a.Target == "" {
		return jacinthtiller.AnnounceResponse{}, wire.InvalidArgument(errors.New("target is empty"))
	}
	return jacinthtiller.AnnounceResponse{Owner: "owner-of-" + a.Target}, nil
}

func (fakeHost) Mark(_ context.Context, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	out := jacinthtiller.MarkResponse{Term: 3, Marks: map[string]jacinthtiller.Position{}}
	for i, g := range r.Guests {
		out.Marks[g] = jacinthtiller.Position{Term: 3, Index: uint64(i + 1)}
	}
	return out, nil
}

func (fakeHost) Fence(context.Context, jacinthtiller.FenceRequest) (jacinthtiller.FenceResponse, error) {
	return jacinthtiller.FenceResponse{}, errors.New("not the owner")
}

// TestHost guards against fields lost in a codec, and against errors that lose their code.
func TestHost(t *testing.T) {
	convey.Convey("Calls preserve fields and error codes", t, func() {
		s := httptest.NewServer(wire.NewHostHandler(fakeHost{}, nil))
		defer s.Close()
		p := wire.NewHostPeers(s.Client()).Peer(s.URL)
		ctx := t.Context()

		m, err := p.Mark(ctx, jacinthtiller.MarkRequest{Database: "d", Guests: []string{"a", "b"}})
		convey.So(err, convey.ShouldBeNil)
		convey.So(m.Marks["b"], convey.ShouldResemble, jacinthtiller.Position{Term: 3, Index: 2})

		_, err = p.Announce(ctx, jacinthtiller.Announcement{})
		convey.So(connect.CodeOf(err), convey.ShouldEqual, connect.CodeInvalidArgument)
		_, err = p.Fence(ctx, jacinthtiller.FenceRequest{})
		convey.So(connect.CodeOf(err), convey.ShouldEqual, connect.CodeUnavailable)

		r, err := http.Post(s.URL+wire.ProcAnnounce, "application/json", strings.NewReader(`{"target":"t1"}`))
		convey.So(err, convey.ShouldBeNil)
		defer r.Body.Close()
		body := make([]byte, 100)
		n, _ := r.Body.Read(body)
		convey.So(string(body[:n]), convey.ShouldContainSubstring, `"owner":"owner-of-t1"`)
	})
}
