package clock

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestNow guards against a clock that goes back, and against one whose rate differs from that of the monotonic clock.
func TestNow(t *testing.T) {
	convey.Convey("The clock never goes back and runs at the rate of the monotonic clock", t, func() {
		start := time.Now()
		first := Now()
		uncertainty := time.Since(start)
		last := first
		// Each reading lies between two readings of the monotonic clock, however long the test is descheduled.
		for elapsed := uncertainty; elapsed < 30*time.Millisecond; {
			now := Now()
			convey.So(now.Before(last), convey.ShouldBeFalse)
			convey.So(now.Sub(first), convey.ShouldBeGreaterThanOrEqualTo, elapsed-uncertainty)
			elapsed = time.Since(start)
			convey.So(now.Sub(first), convey.ShouldBeLessThanOrEqualTo, elapsed)
			last = now
		}
		convey.So(Until(first), convey.ShouldBeLessThan, 0)
	})
}
