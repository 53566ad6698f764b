package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestMassRegistration guards against messages that grow with the square of the number of hosts when all of them
// register in the same second, as after a loss of power, and against a change of primary that is delayed by these
// messages.
func TestMassRegistration(t *testing.T) {
	convey.Convey("Of 194 hosts that register within a second, in virtual time", t, func() {
		m := newMachine(nil)
		p := sendSchedule{origin: time.Unix(1000, 0)}
		var from uint64
		sent, registrations := 0, 0
		var delivered []time.Time // when the watch learned of each registration
		start := time.Unix(1000, 0)
		d := jacinthtiller.Database{Name: "db", Direct: true, Primary: "a"}
		var suspended, suspensionDelivered time.Time
		for step := range 1200 {
			now := start.Add(time.Duration(step) * time.Millisecond)
			if step%5 == 0 && registrations < 194 {
				registrations++
				h := jacinthtiller.Host{Name: fmt.Sprint("h", registrations), Domain: "d", RPC: "r", Incarnation: "1", Exclusive: true}
				applyTo(m, uint64(step+1), Command{Register: &registerCommand{Host: h}})
			}
			if step == 503 {
				m.current.View.Databases = map[string]jacinthtiller.Database{"db": d}
				suspended = now
				applyTo(m, uint64(step+1), Command{SuspendPrimary: &suspendPrimaryCommand{Database: "db", Primary: "a"}})
			}
			x, _ := m.delta(from, true)
			if x == nil || !p.due(x.urgent, now).IsZero() {
				continue
			}
			sent++
			from = x.delta.Index
			for range x.delta.Hosts {
				delivered = append(delivered, now)
			}
			if v, ok := x.delta.Databases["db"]; ok && v.Primary == "" && suspensionDelivered.IsZero() {
				suspensionDelivered = now
			}
		}
		convey.So(delivered, convey.ShouldHaveLength, 194)
		convey.So(sent, convey.ShouldBeLessThanOrEqualTo, 22)
		convey.So(suspensionDelivered, convey.ShouldEqual, suspended)
		convey.So(delivered[193].Sub(start.Add(193*5*time.Millisecond)), convey.ShouldBeLessThanOrEqualTo, routineInterval)
	})
}

// TestMassReturn guards against one message to each host for each target that registers and for each primary that is
// chosen when all machines restart at once: 1,435 targets of 480 databases report within 1.2 s, and then each database
// gets a primary.
func TestMassReturn(t *testing.T) {
	convey.Convey("480 databases that come back, in virtual time", t, func() {
		m := newMachine(nil)
		start := time.Unix(1000, 0)
		p := sendSchedule{origin: start}
		var from, index uint64
		var firstRecorded, firstDelivered time.Time
		routine, urgent, lastDelivered := 0, 0, time.Time{}
		do := func(c Command) {
			index++
			applyTo(m, index, c)
		}
		for step := range 4000 {
			now := start.Add(time.Duration(step) * time.Millisecond)
			if step < 1435 {
				name := fmt.Sprint("t", step)
				do(Command{Enlist: &enlistCommand{Report: targetReport(name, fmt.Sprint("db", step%480), name+":1", 100, 1)}})
			}
			if n := step - 2003; n >= 0 && n%2 == 0 && n < 960 {
				if firstRecorded.IsZero() {
					firstRecorded = now
				}
				do(Command{RecordPrimary: &recordPrimaryCommand{Database: fmt.Sprint("db", n/2), Term: 1, Target: fmt.Sprint("t", n/2)}})
			}
			x, _ := m.delta(from, true)
			if x == nil || !p.due(x.urgent, now).IsZero() {
				continue
			}
			from, lastDelivered = x.delta.Index, now
			if !x.urgent {
				routine++
				continue
			}
			urgent++
			if firstDelivered.IsZero() && step >= 2003 {
				firstDelivered = now
			}
		}
		convey.So(from, convey.ShouldEqual, index)
		convey.So(index, convey.ShouldEqual, 1435+480)
		convey.So(routine, convey.ShouldBeLessThanOrEqualTo, 1435/50+2)
		convey.So(urgent, convey.ShouldBeLessThanOrEqualTo, 960/10+3)
		convey.So(firstDelivered, convey.ShouldEqual, firstRecorded)
		convey.So(lastDelivered.Sub(start.Add((2003+958)*time.Millisecond)), convey.ShouldBeLessThanOrEqualTo, urgentInterval)
	})
}

// applyTo applies one command to the machine.
func applyTo(m *machine, index uint64, c Command) {
	b, err := encode(c)
	convey.So(err, convey.ShouldBeNil)
	m.Apply(index, b)
}
