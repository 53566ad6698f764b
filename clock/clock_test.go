package clock

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestNow guards against a clock that goes back, and against one whose rate differs from that of the steady clock.
func TestNow(t *testing.T) {
	convey.Convey("The clock never goes back and runs at the rate of the steady clock", t, func() {
		began, steady := Now(), time.Now()
		last := began
		for time.Since(steady) < 30*time.Millisecond {
			now := Now()
			convey.So(now.Before(last), convey.ShouldBeFalse)
			last = now
		}
		convey.So(last.Sub(began), convey.ShouldBeGreaterThan, 25*time.Millisecond)
		convey.So(Until(began), convey.ShouldBeLessThan, 0)
	})
}
