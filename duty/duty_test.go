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

func newLog(b *bytes.Buffer) *event.Log {
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
			convey.So(Run(newLog(&out), "work", nil, func() {}), convey.ShouldBeTrue)
			convey.So(out.String(), convey.ShouldBeEmpty)
		})
		convey.Convey("with a fault is logged with its fields and its stack", func() {
			ok := Run(newLog(&out), "work", event.Fields{"request": "r1"}, func() {
				panic("fault in the program")
			})
			convey.So(ok, convey.ShouldBeFalse)
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
		exitCode := 0
		exit = func(c int) { exitCode = c }
		calls := 0
		convey.Convey("is begun again after a fault", func() {
			Keep(context.Background(), newLog(&out), "watch", func() {
				if calls++; calls < 3 {
					panic("fault")
				}
			})
			convey.So(calls, convey.ShouldEqual, 3)
			convey.So(exitCode, convey.ShouldEqual, 0)
		})
		convey.Convey("is not begun again once the process stops", func() {
			ctx, cancel := context.WithCancel(context.Background())
			Keep(ctx, newLog(&out), "watch", func() {
				calls++
				cancel()
				panic("fault")
			})
			convey.So(calls, convey.ShouldEqual, 1)
		})
		convey.Convey("that fails again and again ends the process, which says so", func() {
			Keep(context.Background(), newLog(&out), "watch", func() {
				calls++
				panic("fault")
			})
			convey.So(calls, convey.ShouldEqual, maxPanics+1)
			convey.So(exitCode, convey.ShouldEqual, ExitPanic)
			convey.So(out.String(), convey.ShouldContainSubstring, "duty-given-up")
		})
	})
}

// TestRestartLimiter guards against a duty that ends its process because of faults that lie far apart.
func TestRestartLimiter(t *testing.T) {
	cases := map[string]struct {
		intervalSeconds int
		restart         bool
	}{
		"faults in quick succession":   {1, false},
		"a fault every twenty seconds": {20, true},
	}
	convey.Convey("After twenty faults", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var limiter restartLimiter
				now, restarted := time.Unix(0, 0), true
				for range 20 {
					now = now.Add(time.Duration(c.intervalSeconds) * time.Second)
					delay, restart := limiter.recordPanic(now)
					restarted = restarted && restart
					convey.So(delay, convey.ShouldBeLessThanOrEqualTo, maxRestartDelay)
				}
				convey.So(restarted, convey.ShouldEqual, c.restart)
			})
		}
	})
}
