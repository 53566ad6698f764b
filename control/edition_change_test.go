package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"

	"connectrpc.com/connect"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// randomEdition returns an edition that is either new in all parts or differs from old in a few.
func randomEdition(r *rapid.T, old jacinthtiller.Edition, number uint64) jacinthtiller.Edition {
	e := jacinthtiller.Edition{
		Number: number, Routes: map[string]jacinthtiller.Route{}, Groups: map[string]jacinthtiller.Group{},
		RequiresKeys:                rapid.Bool().Draw(r, "keys"),
		IdleTransactionMilliseconds: rapid.Int64Range(0, 2).Draw(r, "idle"),
	}
	changeShare := rapid.SampledFrom([]int{0, 1, 10, 100}).Draw(r, "percent")
	changes := func(label string) bool { return rapid.IntRange(1, 100).Draw(r, label) <= changeShare }
	for i := range 6 {
		name := fmt.Sprint("r", i)
		x, ok := old.Routes[name]
		if changes("route") {
			ok = rapid.Bool().Draw(r, "exists")
			x = jacinthtiller.Route{
				Name: name, StatementMilliseconds: rapid.Int64Range(1, 3).Draw(r, "timeout"), Public: rapid.Bool().Draw(r, "public"),
			}
		}
		if ok {
			e.Routes[name] = x
		}
	}
	for i := range 3 {
		name := fmt.Sprint("g", i)
		x, ok := old.Groups[name]
		if changes("group") {
			ok, x = rapid.Bool().Draw(r, "exists"), jacinthtiller.Group{Connections: rapid.IntRange(1, 3).Draw(r, "connections")}
		}
		if ok {
			e.Groups[name] = x
		}
	}
	accounts := map[string]jacinthtiller.Account{}
	for i := range rapid.SampledFrom([]int{0, 8, 8, 8, maxEditionNames + 20}).Draw(r, "accounts") {
		name := fmt.Sprint("a", i)
		x, ok := old.Accounts[name]
		if changes("account") {
			ok, x = rapid.Bool().Draw(r, "exists"), jacinthtiller.Account{Name: name, Priority: rapid.IntRange(0, 1).Draw(r, "priority")}
			for k := range rapid.IntRange(0, 2).Draw(r, "keys") {
				x.KeyDigests = append(x.KeyDigests, jacinthtiller.DigestKey(fmt.Sprint(name, k, number)))
			}
			if rapid.Bool().Draw(r, "limited") {
				x.Limit = &jacinthtiller.RateLimit{PerSecond: rapid.Float64Range(0, 9).Draw(r, "rate")}
			}
		}
		if ok {
			accounts[name] = x
		}
	}
	if len(accounts) > 0 {
		e.Accounts = accounts
	}
	return e
}

// withMaps returns the view with empty maps in place of absent ones; a full view is sent without its empty maps.
func withMaps(v jacinthtiller.View) jacinthtiller.View {
	if v.Hosts == nil {
		v.Hosts = map[string]jacinthtiller.Host{}
	}
	if v.Databases == nil {
		v.Databases = map[string]jacinthtiller.Database{}
	}
	if v.Sections == nil {
		v.Sections = map[string]jacinthtiller.Section{}
	}
	return v
}

// TestEditionDeltas guards against hosts with an edition that differs from the one in force, after any sequence of editions
// seen from any earlier views, with and without the flag for edition deltas, and after the loss of the list of changes; and
// against a delta that modifies the edition that a host has in use.
func TestEditionDeltas(t *testing.T) {
	must := func(r *rapid.T, v any) []byte {
		b, err := encode(v)
		if err != nil {
			r.Fatal(err)
		}
		return b
	}
	deltas := 0
	rapid.Check(t, func(r *rapid.T) {
		m := newMachine(nil)
		views := make([]jacinthtiller.View, 4) // odd ones accept edition deltas
		index, number := uint64(0), uint64(0)
		var newest jacinthtiller.Edition
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			index++
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				h := jacinthtiller.Host{Name: fmt.Sprint("h", index), Incarnation: "1"}
				m.Apply(index, must(r, Command{Register: &registerCommand{Host: h}}))
			case 1:
				if number == 0 {
					continue
				}
				// A late edition changes nothing.
				m.Apply(index, must(r, Command{Edition: &editionCommand{Edition: jacinthtiller.Edition{Number: number}}}))
			case 2:
				b, err := m.Snapshot()
				if err == nil {
					err = m.Restore(b)
				}
				if err != nil {
					r.Fatal(err)
				}
			default:
				number += rapid.Uint64Range(1, 3).Draw(r, "gap")
				newest = randomEdition(r, newest, number)
				m.Apply(index, must(r, Command{Edition: &editionCommand{Edition: newest}}))
			}
			for i := range views {
				if rapid.IntRange(0, 2).Draw(r, "watches") > 0 {
					continue
				}
				x, _ := m.delta(views[i].Index, i%2 == 1)
				if x == nil {
					continue
				}
				if x.delta.EditionDelta != nil {
					deltas++
					if i%2 == 0 {
						r.Fatal("a watcher without the flag got an edition delta")
					}
				}
				var d jacinthtiller.Delta
				if err := decode(must(r, x), &d); err != nil {
					r.Fatal(err)
				}
				before := must(r, views[i])
				next, ok := views[i].With(d)
				if !ok {
					r.Fatalf("the delta %+v does not apply to the view %+v", d, views[i])
				}
				if got, want := must(r, withMaps(next)), must(r, m.state().View); !bytes.Equal(got, want) {
					r.Fatalf("the view is %+v, not %+v", next, m.state().View)
				}
				if !bytes.Equal(before, must(r, views[i])) {
					r.Fatal("the former view was modified")
				}
				views[i] = next
			}
		}
	})
	if deltas < 50 {
		t.Fatalf("only %d edition deltas were tested", deltas)
	}
}

// accountsEdition returns an edition with n accounts of two keys each; generation changes one key of account a-00007.
func accountsEdition(n int, generation uint64) jacinthtiller.Edition {
	e := jacinthtiller.Edition{
		Number: generation, RequiresKeys: true, Accounts: map[string]jacinthtiller.Account{},
		Groups: map[string]jacinthtiller.Group{"g": {Connections: 56}},
		Routes: map[string]jacinthtiller.Route{"r": {Name: "r", Database: "g", Class: jacinthtiller.ClassSession, StatementMilliseconds: 800}},
	}
	for i := range n {
		name := fmt.Sprintf("a-%05d", i)
		key := name
		if i == 7 {
			key = fmt.Sprint(name, generation)
		}
		e.Accounts[name] = jacinthtiller.Account{
			Name: name, KeyDigests: []jacinthtiller.KeyDigest{jacinthtiller.DigestKey(key), jacinthtiller.DigestKey("2" + name)},
			Limit: &jacinthtiller.RateLimit{PerSecond: 12.5, Burst: 20},
		}
	}
	return e
}

// TestBytesOfChangedKey guards against a message to each host that grows with the number of accounts when one key changes.
func TestBytesOfChangedKey(t *testing.T) {
	convey.Convey("The message of one changed key", t, func() {
		size := func(accounts int, acceptsEditionDeltas bool) int {
			m := newMachine(nil)
			for g := range uint64(2) {
				applyTo(m, 500+g, Command{Edition: &editionCommand{Edition: accountsEdition(accounts, 300+g)}})
			}
			d, _ := m.delta(500, acceptsEditionDeltas)
			compressed, err := d.compress()
			convey.So(err, convey.ShouldBeNil)
			b, err := compressed.MarshalCBOR()
			convey.So(err, convey.ShouldBeNil)
			return len(b)
		}
		few, many := size(100, true), size(10_000, true)
		t.Logf("one changed key: %d bytes with 100 accounts, %d with 10,000; the whole edition, compressed: %d and %d",
			few, many, size(100, false), size(10_000, false))
		convey.So(many, convey.ShouldBeLessThan, 512)
		convey.So(many-few, convey.ShouldBeBetweenOrEqual, 0, 2) // the number of entries takes another byte
	})
}

// TestSharedEditionDeltas guards against encoding one message for each watch, and against a message of another form in
// place of the shared one.
func TestSharedEditionDeltas(t *testing.T) {
	convey.Convey("After a change of one of 100 keys", t, func() {
		m := newMachine(nil)
		for g := range uint64(2) {
			applyTo(m, 1+g, Command{Edition: &editionCommand{Edition: accountsEdition(100, 1+g)}})
		}
		small, _ := m.delta(1, true)
		whole, _ := m.delta(1, false)
		convey.Convey("watches that accept the same form share it", func() {
			again, _ := m.delta(1, true)
			convey.So(again, convey.ShouldEqual, small)
			again, _ = m.delta(1, false)
			convey.So(again, convey.ShouldEqual, whole)
			convey.So(small.delta.Edition, convey.ShouldBeNil)
			convey.So(whole.delta.EditionDelta, convey.ShouldBeNil)
			convey.So(whole.delta.Edition, convey.ShouldEqual, m.state().View.Edition)
			convey.So(whole.urgent, convey.ShouldBeTrue)
		})
		convey.Convey("a full view and a delta without an edition are shared by both", func() {
			applyTo(m, 3, Command{Register: &registerCommand{Host: jacinthtiller.Host{Name: "h"}}})
			for _, from := range []uint64{0, 2} {
				a, _ := m.delta(from, true)
				b, _ := m.delta(from, false)
				convey.So(a, convey.ShouldEqual, b)
			}
		})
		convey.Convey("a change of too many entries sends the whole edition", func() {
			applyTo(m, 3, Command{Edition: &editionCommand{Edition: accountsEdition(100+maxEditionNames+1, 3)}})
			d, _ := m.delta(2, true)
			convey.So(d.delta.EditionDelta, convey.ShouldBeNil)
			convey.So(d.delta.Edition, convey.ShouldEqual, m.state().View.Edition)
		})
	})
}

// TestWatchForms guards against a client that does not announce edition deltas, and against a control process that sends
// them to hosts of an earlier version, which would keep the former edition.
func TestWatchForms(t *testing.T) {
	convey.Convey("A watch that begins before the change of a key", t, func() {
		s, _, url := startFake(t, Config{Operators: &Operators{}}, true)
		for g := range uint64(2) {
			convey.So(s.ApplyEdition(t.Context(), accountsEdition(100, 1+g), []byte("{}")), convey.ShouldBeNil)
		}
		from := s.View().Index - 1
		convey.Convey("by a client gets the changed account", func() {
			var d jacinthtiller.Delta
			stop := errors.New("enough")
			err := NewClient([]string{url}, nil).Watch(t.Context(), from, func(x jacinthtiller.Delta) error {
				d = x
				return stop
			})
			convey.So(errors.Is(err, stop), convey.ShouldBeTrue)
			convey.So(d.Edition, convey.ShouldBeNil)
			convey.So(d.EditionDelta.Changed.Accounts, convey.ShouldHaveLength, 1)
		})
		convey.Convey("by an earlier version gets the whole edition", func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			w, err := newEndpoint(wire.NewHTTPClient(), url).watch.CallServerStream(ctx, connect.NewRequest(&WatchRequest{From: from, AcceptsCompressed: true}))
			convey.So(err, convey.ShouldBeNil)
			defer w.Close()
			convey.So(w.Receive(), convey.ShouldBeTrue)
			d, err := decompressDelta(*w.Msg())
			convey.So(err, convey.ShouldBeNil)
			convey.So(d.EditionDelta, convey.ShouldBeNil)
			convey.So(d.Edition.Accounts, convey.ShouldResemble, s.View().Edition.Accounts)
		})
	})
}

// BenchmarkEditionChange measures what one changed key of 10,000 accounts costs a control process, without the log, and a
// host.
func BenchmarkEditionChange(b *testing.B) {
	old, updated := accountsEdition(10_000, 1), accountsEdition(10_000, 2)
	b.Run("compare", func(b *testing.B) {
		for b.Loop() {
			newEditionChange(&old, updated)
		}
	})
	d, _ := updated.Delta(1, updated.ChangesSince(old))
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			old.With(d)
		}
	})
}
