package trace_test

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/trace"
)

// TestExplain guards the steps of docs/OPERATIONS.md from a failed request's id to its cause. The logs come from a run of
// deploy/days/change-of-primary.toml.
func TestExplain(t *testing.T) {
	cases := map[string]struct {
		request string
		// code and reason are those of the request; hostEvent and controlEvent must be in its explanation.
		code, reason, hostEvent, controlEvent string
	}{
		"refused while the primary is replaced": {
			"91b8dfc7a410dafd", "busy", "the primary is being replaced", "target-unreached", "control-primary-suspended",
		},
		"refused for lack of capacity": {
			"6d3f2e5f36068cd4", "busy", "behind or crowded", "", "control-primary-recorded",
		},
		"unknown after a lost answer": {
			"bd02fc92ccb29651", "unknown", "did not answer", "", "",
		},
	}
	convey.Convey("A failed request is traced to its cause", t, func() {
		lines, err := trace.ReadLogs("testdata/edge-iasi-a-1.log", "testdata/edge-bucuresti-a-2.log", "testdata/core-cluj-a-1.log")
		convey.So(err, convey.ShouldBeNil)
		for name, c := range cases {
			convey.Convey(name, func() {
				e := trace.Explain(lines, c.request)
				convey.So(e.Request, convey.ShouldHaveLength, 1)
				convey.So(e.Request[0].Fields["code"], convey.ShouldEqual, c.code)
				convey.So(e.Request[0].Fields["reason"], convey.ShouldContainSubstring, c.reason)
				host, database := e.Request[0].Host, e.Request[0].Fields["database"]
				containsEvent := func(logLines []trace.LogLine, event string) bool {
					found := event == ""
					for _, l := range logLines {
						convey.So(l.Fields["database"] == nil || l.Fields["database"] == database, convey.ShouldBeTrue)
						found = found || l.Name == event
					}
					return found
				}
				convey.So(containsEvent(e.HostState, c.hostEvent), convey.ShouldBeTrue)
				convey.So(containsEvent(e.Decisions, c.controlEvent), convey.ShouldBeTrue)
				for _, l := range e.HostState {
					convey.So(l.Host, convey.ShouldEqual, host)
				}
				convey.So(strings.Contains(e.String(), c.request), convey.ShouldBeTrue)
			})
		}
		convey.Convey("a request that is in no log has no explanation", func() {
			convey.So(trace.Explain(lines, "nothing").Request, convey.ShouldBeEmpty)
		})
	})
}
