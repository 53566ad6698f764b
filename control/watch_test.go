package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestMassRegistration guards against messages that grow with the square of the number of hosts when all of them register
// in the same second, as after a loss of power, and against a change of primary that waits behind them.
func TestMassRegistration(t *testing.T) {
	convey.Convey("Of 194 hosts that register within a second, in virtual time", t, func() {
		m := newMachine(nil)
		var p pace
		var from uint64
		sent, registrations := 0, 0
		var told []time.Time // when the watch learned of each registration
		start := time.Unix(1000, 0)
		d := jacinthtiller.Database{Name: "db", Direct: true, Primary: "a"}
		var suspended, suspensionTold time.Time
		for step := range 1200 {
			now := start.Add(time.Duration(step) * time.Millisecond)
			if step%5 == 0 && registrations < 194 {
				registrations++
				h := jacinthtiller.Host{Name: fmt.Sprint("h", registrations), Domain: "d", RPC: "r", Incarnation: "1", Exclusive: true}
				applyTo(m, uint64(step+1), Command{Register: &registerCommand{Host: h}})
			}
			if step == 503 {
				m.s.View.Databases = map[string]jacinthtiller.Database{"db": d}
				suspended = now
				applyTo(m, uint64(step+1), Command{SuspendPrimary: &suspendPrimaryCommand{Database: "db", Primary: "a"}})
			}
			x, _ := m.delta(from)
			if x == nil || !p.due(x.delta, now).IsZero() {
				continue
			}
			sent++
			from = x.delta.Index
			for range x.delta.Hosts {
				told = append(told, now)
			}
			if v, ok := x.delta.Databases["db"]; ok && v.Primary == "" && suspensionTold.IsZero() {
				suspensionTold = now
			}
		}
		convey.So(told, convey.ShouldHaveLength, 194)
		convey.So(sent, convey.ShouldBeLessThanOrEqualTo, 22)
		convey.So(suspensionTold, convey.ShouldEqual, suspended)
		convey.So(told[193].Sub(start.Add(193*5*time.Millisecond)), convey.ShouldBeLessThanOrEqualTo, hostsEvery)
	})
}

// apply1 applies one command to the machine.
func applyTo(m *machine, index uint64, c Command) {
	b, err := encode(c)
	convey.So(err, convey.ShouldBeNil)
	m.Apply(index, b)
}
