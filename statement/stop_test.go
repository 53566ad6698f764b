package statement

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestStopSteps guards against requests that a stopping host takes and then cuts off, and against work that it refuses although
// there is time for it.
func TestStopSteps(t *testing.T) {
	past, future := time.Now().Add(-time.Minute), time.Now().Add(time.Minute)
	steps := map[string]StopTimes{
		"notice":     {CloseIdle: future, Refuse: future, Answer: future},
		"close idle": {CloseIdle: past, Refuse: future, Answer: future},
		"refuse":     {CloseIdle: past, Refuse: past, Answer: future},
	}
	cases := map[string]struct {
		// before is sent before the stop begins, and text in each step.
		before, text string
		// want holds the answer in each step.
		want map[string]string
		// stays holds the steps after which the session is still open.
		stays map[string]bool
	}{
		"a read": {
			text:  "READ 1",
			want:  map[string]string{"notice": "passed I", "close idle": "passed I", "refuse": "busy I"},
			stays: map[string]bool{"notice": true, "close idle": true},
		},
		"a write": {
			text:  "WRITE 1 x",
			want:  map[string]string{"notice": "passed I", "close idle": "passed I", "refuse": "busy I"},
			stays: map[string]bool{"notice": true, "close idle": true},
		},
		"a value": {
			text:  "SET a 1",
			want:  map[string]string{"notice": "done I", "close idle": "done I", "refuse": "done I"},
			stays: map[string]bool{"notice": true, "close idle": true, "refuse": true},
		},
		"the begin of a transaction": {
			text:  "BEGIN",
			want:  map[string]string{"notice": "done T", "close idle": "busy I", "refuse": "busy I"},
			stays: map[string]bool{"notice": true, "close idle": true},
		},
		"a statement of an open transaction": {
			before: "BEGIN", text: "WRITE 1 x",
			want:  map[string]string{"notice": "passed T", "close idle": "passed T", "refuse": "aborted E"},
			stays: map[string]bool{"notice": true, "close idle": true, "refuse": true},
		},
		"the commit of an open transaction": {
			before: "BEGIN", text: "COMMIT",
			want:  map[string]string{"notice": "passed I", "close idle": "passed I", "refuse": "passed I"},
			stays: map[string]bool{"notice": true, "close idle": true, "refuse": true},
		},
	}
	convey.Convey("In each step of a stop", t, func() {
		for name, c := range cases {
			for step, times := range steps {
				convey.Convey(name+" in step "+step, func() {
					ts := newTestServer(t)
					defer ts.close()
					g := ts.guest(jacinthtiller.ClassPrimary)
					if c.before != "" {
						g.ask(c.before)
					}
					ts.server.stopTimes.Store(&times)
					convey.So(g.ask(c.text), convey.ShouldEqual, c.want[step])
					if c.stays[step] {
						convey.So(g.ask("SET b 1"), convey.ShouldNotBeEmpty)
						g.leave()
					}
					_, more := <-g.answers
					convey.So(more, convey.ShouldBeFalse)
				})
			}
		}
	})
}
