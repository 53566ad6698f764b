package duty

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/event"
)

func logTo(b *bytes.Buffer) *event.Log {
	l := logrus.New()
	l.SetOutput(b)
	l.SetFormatter(&logrus.JSONFormatter{})
	return event.New("host", l)
}

// TestRun guards against a fault that ends more than its own work, and against one without a line in the log.
func TestRun(t *testing.T) {
	convey.Convey("Work", t, func() {
		var out bytes.Buffer
		convey.Convey("that ends is not logged", func() {
			convey.So(Run(logTo(&out), "work", nil, func() {}), convey.ShouldBeTrue)
			convey.So(out.String(), convey.ShouldBeEmpty)
		})
		convey.Convey("with a fault is logged with its fields and its stack", func() {
			sound := Run(logTo(&out), "work", event.Fields{"request": "r1"}, func() {
				panic("fault in the program")
			})
			convey.So(sound, convey.ShouldBeFalse)
			for _, part := range []string{"work-panicked", `"request":"r1"`, "fault in the program", "duty_test.go"} {
				convey.So(out.String(), convey.ShouldContainSubstring, part)
			}
		})
	})
}

// TestKeep guards against a process that says that it is ready while one of its duties is gone for good.
func TestKeep(t *testing.T) {
	convey.Convey("A duty", t, func() {
		var out bytes.Buffer
		code := 0
		exit = func(c int) { code = c }
		calls := 0
		convey.Convey("is begun again after a fault", func() {
			Keep(context.Background(), logTo(&out), "watch", func() {
				if calls++; calls < 3 {
					panic("fault")
				}
			})
			convey.So(calls, convey.ShouldEqual, 3)
			convey.So(code, convey.ShouldEqual, 0)
		})
		convey.Convey("is not begun again once the process stops", func() {
			ctx, cancel := context.WithCancel(context.Background())
			Keep(ctx, logTo(&out), "watch", func() {
				calls++
				cancel()
				panic("fault")
			})
			convey.So(calls, convey.ShouldEqual, 1)
		})
		convey.Convey("that fails again and again ends the process, which says so", func() {
			Keep(context.Background(), logTo(&out), "watch", func() {
				calls++
				panic("fault")
			})
			convey.So(calls, convey.ShouldEqual, faultsBorne+1)
			convey.So(code, convey.ShouldEqual, ExitFault)
			convey.So(out.String(), convey.ShouldContainSubstring, "duty-given-up")
		})
	})
}

// TestBounds guards against a duty that ends its process because of faults that lie far apart.
func TestBounds(t *testing.T) {
	cases := map[string]struct {
		gapSeconds int
		again      bool
	}{
		"faults in quick succession":   {1, false},
		"a fault every twenty seconds": {20, true},
	}
	convey.Convey("After twenty faults", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var b bounds
				now, borne := time.Unix(0, 0), true
				for range 20 {
					now = now.Add(time.Duration(c.gapSeconds) * time.Second)
					pause, again := b.fault(now)
					borne = borne && again
					convey.So(pause, convey.ShouldBeLessThanOrEqualTo, longestPause)
				}
				convey.So(borne, convey.ShouldEqual, c.again)
			})
		}
	})
}
