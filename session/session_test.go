package session

import (
	"context"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestFirst guards against a session that cannot serve the simple and the extended protocol at all.
func TestFirst(t *testing.T) {
	w := newWorld()
	h := w.enter(t)
	ctx := context.Background()
	convey.Convey("Statements run", t, func() {
		c := h.connect(t, "writer")
		_, err := c.Exec(ctx, "insert x")
		convey.So(err, convey.ShouldBeNil)
		var v string
		convey.So(c.QueryRow(ctx, "select value").Scan(&v), convey.ShouldBeNil)
		convey.So(v, convey.ShouldEqual, "1")
		convey.So(c.QueryRow(ctx, "select $1", "abc").Scan(&v), convey.ShouldBeNil)
		convey.So(v, convey.ShouldEqual, "abc")
		tx, err := c.Begin(ctx)
		convey.So(err, convey.ShouldBeNil)
		_, err = tx.Exec(ctx, "insert $1", "x")
		convey.So(err, convey.ShouldBeNil)
		convey.So(tx.Commit(ctx), convey.ShouldBeNil)
		convey.So(c.QueryRow(ctx, "select value").Scan(&v), convey.ShouldBeNil)
		convey.So(v, convey.ShouldEqual, "2")
		convey.So(c.PgConn().ParameterStatus("jacinthtiller.mark"), convey.ShouldEqual, "1/2")
	})
}
