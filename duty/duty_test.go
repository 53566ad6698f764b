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

// TestRun guards against a panic that ends more than its own work, and against one that is not logged.
func TestRun(t *testing.T) {
	convey.Convey("Work", t, func() {
		var out bytes.Buffer
		convey.Convey("that returns is not logged", func() {
			convey.So(Run(newLog(&out), "work", nil, func() {}), convey.ShouldBeTrue)
			convey.So(out.String(), convey.ShouldBeEmpty)
		})
		convey.Convey("that panics is logged with its fields and its stack", func() {
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

// TestKeep guards against a process that reports itself as ready although one of its background tasks has ended.
func TestKeep(t *testing.T) {
	convey.Convey("A background task", t, func() {
		var out bytes.Buffer
		exitCode := 0
		exit = func(c int) { exitCode = c }
		calls := 0
		convey.Convey("is restarted after a panic", func() {
			RunWithRestart(context.Background(), newLog(&out), "watch", func() {
				if calls++; calls < 3 {
					panic("fault")
				}
			})
			convey.So(calls, convey.ShouldEqual, 3)
			convey.So(exitCode, convey.ShouldEqual, 0)
		})
		convey.Convey("is not restarted once the process stops", func() {
			ctx, cancel := context.WithCancel(context.Background())
			RunWithRestart(ctx, newLog(&out), "watch", func() {
				calls++
				cancel()
				panic("fault")
			})
			convey.So(calls, convey.ShouldEqual, 1)
		})
		convey.Convey("that panics repeatedly ends the process, which is logged", func() {
			RunWithRestart(context.Background(), newLog(&out), "watch", func() {
				calls++
				panic("fault")
			})
			convey.So(calls, convey.ShouldEqual, maxPanics+1)
			convey.So(exitCode, convey.ShouldEqual, ExitPanic)
			convey.So(out.String(), convey.ShouldContainSubstring, "duty-given-up")
		})
	})
}

// TestBounds guards against a task that ends its process because of panics that are far apart.
func TestBounds(t *testing.T) {
	cases := map[string]struct {
		intervalSeconds int
		restart         bool
	}{
		"panics in quick succession":   {1, false},
		"a panic every twenty seconds": {20, true},
	}
	convey.Convey("After twenty panics", t, func() {
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
