package control

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// largeGroups adds databases of three targets to a machine.
func largeGroups(m *machine, databases int) {
	for d := range databases {
		for r := range 3 {
			n := fmt.Sprintf("i-%07x%d", d*7919, r)
			report := targetReport(n, fmt.Sprint("database-", d), fmt.Sprintf("10.%d.%d.%d:8080", r, d/250, d%250), int64(1_780_601_862_358+d), 1)
			m.current, _, _ = apply(m.current, m.current.View.Index+1, Command{Enlist: &enlistCommand{Report: report}})
		}
	}
}

// TestSharedCompression guards against compressing each message once per watch when 300 hosts request a view of 480
// databases at once, and against a view that takes a second on a link of 2 Mbit/s.
func TestSharedCompression(t *testing.T) {
	convey.Convey("A view of 480 databases", t, func() {
		s, _, url := startFake(t, Config{Operators: &Operators{}}, true)
		largeGroups(s.machine, 480)
		d, _ := s.machine.delta(0, true)
		raw, err := d.MarshalCBOR()
		convey.So(err, convey.ShouldBeNil)
		convey.Convey("is compressed once, to an eighth or less", func() {
			one, err := d.compress()
			convey.So(err, convey.ShouldBeNil)
			again, err := d.compress()
			convey.So(err, convey.ShouldBeNil)
			convey.So(one, convey.ShouldEqual, again)
			b, err := one.MarshalCBOR()
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(b), convey.ShouldBeLessThan, len(raw)/8)
		})
		convey.Convey("arrives whole, compressed and from a process that does not compress", func() {
			var got jacinthtiller.Delta
			stop := errors.New("enough")
			err := NewClient([]string{url}, nil).Watch(t.Context(), 0, func(d jacinthtiller.Delta) error {
				got = d
				return stop
			})
			convey.So(errors.Is(err, stop), convey.ShouldBeTrue)
			convey.So(got.Databases, convey.ShouldResemble, s.View().Databases)
			plain, err := decompressDelta(d.delta)
			convey.So(err, convey.ShouldBeNil)
			convey.So(plain.Databases, convey.ShouldResemble, s.View().Databases)
		})
		convey.Convey("is rejected when it cannot be decompressed", func() {
			compressed, err := d.compress()
			convey.So(err, convey.ShouldBeNil)
			for name, b := range map[string][]byte{"not compressed": []byte("x"), "cut short": compressed.delta.Compressed[:100]} {
				convey.Convey(name, func() {
					_, err := decompressDelta(jacinthtiller.Delta{Compressed: b})
					convey.So(err, convey.ShouldNotBeNil)
				})
			}
		})
		convey.Convey("of one target is sent uncompressed", func() {
			small := encodedDelta{delta: jacinthtiller.Delta{From: 1, Index: 2}}
			compressed, err := small.compress()
			convey.So(err, convey.ShouldBeNil)
			convey.So(compressed, convey.ShouldEqual, &small)
		})
	})
}

// BenchmarkCompress measures the cost of one full view of 480 databases for 49 watches of one process.
func BenchmarkCompress(b *testing.B) {
	m := newMachine(nil)
	largeGroups(m, 480)
	for name, shared := range map[string]bool{"each": false, "shared": true} {
		b.Run(strings.ToLower(name), func(b *testing.B) {
			for b.Loop() {
				d := m.buildDelta(0)
				for range 49 {
					if shared {
						compressed, _ := d.compress()
						_, _ = compressed.MarshalCBOR()
						continue
					}
					raw, _ := d.MarshalCBOR()
					_, _ = compress(raw)
				}
			}
		})
	}
}
