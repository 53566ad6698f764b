package jacinthtiller_test

import (
	"reflect"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestAccountEqual guards against a change of an account that no host learns of, because a field is not compared.
func TestAccountEqual(t *testing.T) {
	convey.Convey("An account differs from one with another value in any field", t, func() {
		base := func() jacinthtiller.Account {
			return jacinthtiller.Account{
				Name: "a", KeyDigests: []jacinthtiller.KeyDigest{"d"}, Priority: 1, Limit: &jacinthtiller.RateLimit{PerSecond: 1},
			}
		}
		convey.So(base().Equal(base()), convey.ShouldBeTrue)
		for i := range reflect.TypeFor[jacinthtiller.Account]().NumField() {
			a := base()
			field := reflect.ValueOf(&a).Elem().Field(i)
			convey.So(field.IsZero(), convey.ShouldBeFalse) // a field that is added to Account is set in base
			field.SetZero()
			convey.So(a.Equal(base()), convey.ShouldBeFalse)
			convey.So(base().Equal(a), convey.ShouldBeFalse)
		}
		for i := range reflect.TypeFor[jacinthtiller.RateLimit]().NumField() {
			a := base()
			reflect.ValueOf(a.Limit).Elem().Field(i).SetFloat(7)
			convey.So(a.Equal(base()), convey.ShouldBeFalse)
		}
	})
}

// TestEditionWith guards against a delta that is applied to another edition than the one it was made for, which would leave
// a host with routes or accounts that no edition has, and against a host that goes on with an edition from a peer whose
// version does not know accounts.
func TestEditionWith(t *testing.T) {
	base := jacinthtiller.Edition{
		Number: 4, RequiresKeys: true,
		Routes:   map[string]jacinthtiller.Route{"r": {Name: "r"}},
		Accounts: map[string]jacinthtiller.Account{"a": {Name: "a"}, "b": {Name: "b"}, "c": {Name: "c"}},
	}
	updated := base
	updated.Number, updated.IdleTransactionMilliseconds = 9, 50
	updated.Accounts = map[string]jacinthtiller.Account{"a": {Name: "a", KeyDigests: []jacinthtiller.KeyDigest{"d"}}, "c": {Name: "c"}}
	withoutAccounts := base
	withoutAccounts.Accounts = nil
	other := base
	other.Number = 5
	cases := map[string]struct {
		edition *jacinthtiller.Edition
		ok      bool
	}{
		"its own edition":                      {&base, true},
		"another edition":                      {&other, false},
		"an edition whose accounts are absent": {&withoutAccounts, false},
		"no edition":                           {nil, false},
	}
	convey.Convey("A delta is applied to", t, func() {
		d, ok := updated.Delta(4, updated.ChangesSince(base))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(d.RemovedAccounts, convey.ShouldResemble, []string{"b"})
		convey.So(d.Changed.Routes, convey.ShouldBeEmpty)
		for name, c := range cases {
			convey.Convey(name, func() {
				v := jacinthtiller.View{Index: 20, Edition: c.edition}
				next, ok := v.With(jacinthtiller.Delta{From: 20, Index: 21, EditionDelta: &d})
				convey.So(ok, convey.ShouldEqual, c.ok)
				if !ok {
					convey.So(next, convey.ShouldResemble, v)
					return
				}
				convey.So(next.Edition.Number, convey.ShouldEqual, 9)
				convey.So(next.Edition.IdleTransactionMilliseconds, convey.ShouldEqual, 50)
				convey.So(next.Edition.Routes, convey.ShouldResemble, updated.Routes)
				convey.So(next.Edition.Accounts, convey.ShouldResemble, updated.Accounts)
				convey.So(base.Accounts, convey.ShouldContainKey, "b")
			})
		}
	})
}
