package clock

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestNow guards against a clock that goes back, and against one whose rate differs from that of the steady clock.
func TestNow(t *testing.T) {
	convey.Convey("The clock never goes back and runs at the rate of the steady clock", t, func() {
		steady := time.Now()
		began := Now()
		opened := time.Since(steady)
		last := began
		// Each reading lies between two of the steady clock, however long the test is kept from running.
		for passed := opened; passed < 30*time.Millisecond; {
			now := Now()
			convey.So(now.Before(last), convey.ShouldBeFalse)
			convey.So(now.Sub(began), convey.ShouldBeGreaterThanOrEqualTo, passed-opened)
			passed = time.Since(steady)
			convey.So(now.Sub(began), convey.ShouldBeLessThanOrEqualTo, passed)
			last = now
		}
		convey.So(Until(began), convey.ShouldBeLessThan, 0)
	})
}
