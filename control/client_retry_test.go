package control

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"
	"github.com/smartystreets/goconvey/convey"
)

// TestRetryAtDeadline guards against a call that reports the end of its time instead of the failure of its last attempt: a
// caller takes the former for an unknown outcome. It comes about when the pause between two attempts ends with the time. The end
// of ctx may be seen a moment later than that of the pause.
func TestRetryAtDeadline(t *testing.T) {
	convey.Convey("A call whose pause ends at its deadline returns the error of its last attempt", t, func() {
		for range 40 { // the case of a select that is taken is random
			var err error
			synctest.Test(t, func(*testing.T) {
				c := NewClient([]string{"http://127.0.0.1:1"}, nil)
				ctx, cancel := context.WithTimeout(context.Background(), 3*retryDelay)
				defer cancel()
				err = c.callWithRetry(ctx, retryDelay, true, false, func(ctx context.Context, _ *endpoint) error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					return connect.NewError(connect.CodeUnavailable, errors.New("nothing listens"))
				})
			})
			convey.So(connect.CodeOf(err), convey.ShouldEqual, connect.CodeUnavailable)
		}
	})
}
