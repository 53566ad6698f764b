package owner

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestFirst guards against a path from unit to answer that does not work at all.
func TestFirst(t *testing.T) {
	convey.Convey("A write and a read on the primary", t, func() {
		c := newCluster(t, 3)
		s := c.ready()
		convey.So(s.query("CREATE TABLE a (id int, v text)").says(), convey.ShouldEqual, "done C:CREATE TABLE Z:I")
		o := s.query("INSERT INTO a VALUES (1, 'x')")
		convey.So(o.says(), convey.ShouldEqual, "done C:INSERT 0 1 Z:I")
		convey.So(s.query("SELECT v FROM a").says(), convey.ShouldEqual, "done T D:x C:SELECT 1 Z:I")
	})
}
