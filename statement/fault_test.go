package statement

import (
	"bytes"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// TestFaults guards against a panic in one guest's request that leaves the guest waiting on an open connection, never
// releases capacity at a target, or ends the process.
func TestFaults(t *testing.T) {
	for name, requests := range map[string][]string{
		"a read":                   {"READ 1"},
		"a write":                  {"WRITE 1 x"},
		"the start of transaction": {"BEGIN", "READ 1"},
		"a statement in one":       {"BEGIN", "READ 2", "READ 1"},
		"a commit":                 {"BEGIN", "WRITE 2 x", "COMMIT"},
	} {
		convey.Convey("When "+name+" of many guests panics", t, func() {
			var out bytes.Buffer
			l := logrus.New()
			l.SetOutput(&out)
			ts := newTestServer(t, WithEvents(event.New("h0", l)))
			defer ts.close()
			last := requests[len(requests)-1]
			if name == "the start of transaction" {
				last = "BEGIN"
			}
			ts.group.script = func(_ string, o jacinthtiller.TargetRequest) (jacinthtiller.Reply, error) {
				if o.Text == last {
					panic("fault in the program")
				}
				return success(10)
			}
			other := ts.guest(jacinthtiller.ClassPrimary)
			defer other.leave()
			for range 30 { // more than the targets admit at a time
				g := ts.guest(jacinthtiller.ClassPrimary)
				for _, r := range requests[:len(requests)-1] {
					g.ask(r)
				}
				convey.So(g.ask(requests[len(requests)-1]), convey.ShouldBeEmpty) // the connection is closed
			}
			convey.So(other.ask("READ 3"), convey.ShouldEqual, "passed I")
			convey.So(out.String(), convey.ShouldContainSubstring, "work-panicked")
			convey.So(out.String(), convey.ShouldContainSubstring, "request=x")
		})
	}
}
