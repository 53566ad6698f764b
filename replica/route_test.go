package replica

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
)

func pos(index uint64) jacinthtiller.Position { return jacinthtiller.Position{Term: 2, Index: index} }

// TestRoute guards against reads that go to a replica that lacks the guest's writes
// or is too old, and against reads on the primary that a replica could serve.
func TestRoute(t *testing.T) {
	now := time.Unix(1000, 0)
	primary := Candidate{Name: "p", Primary: true, Usable: true, Position: pos(9)}
	ahead := Candidate{Name: "a", Usable: true, Distance: SameRegion, Position: pos(9), FreshAt: now}
	behind := Candidate{Name: "b", Usable: true, Distance: SameHost, Position: pos(3), FreshAt: now.Add(-time.Minute)}
	slow, lost, sameDomain := behind, ahead, ahead
	slow.SlowUntil = now.Add(time.Second)
	lost.Usable = false
	sameDomain.Name, sameDomain.Distance = "n", SameDomain
	read := Query{Access: jacinthtiller.AccessRead, RequiredPosition: pos(5), Mark: pos(5)}
	mayWait, unknownMark, write, unknownAge, refused, replicaOnly := read, read, read, read, read, read
	mayWait.WaitUntil = now.Add(time.Second)
	unknownMark.MarkUnknown = true
	write.Access = jacinthtiller.AccessWrite
	unknownAge.AgeUnknown = true
	refused.NeedsPrimary, refused.PrimaryReason = true, ReasonRefused
	replicaOnly.ReplicaOnly = true
	withPolicy := func(q Query, m document.PrimaryMissingPolicy) Query {
		q.PrimaryMissing, q.OldestAllowed = m, now.Add(-time.Second)
		return q
	}
	primaryUnavailable := func(q Query) Query { q.PrimaryUnavailable = true; return q }
	unreachable := sameDomain
	unreachable.AvoidUntil = now.Add(time.Second)
	cases := map[string]struct {
		query      Query
		candidates []Candidate
		target     string
		reason     Reason
	}{
		"nearest of those that cover":        {read, []Candidate{ahead, behind, sameDomain, primary}, "n", ReasonCovered},
		"a farther one that covers":          {mayWait, []Candidate{ahead, behind, primary}, "a", ReasonCovered},
		"one that will cover":                {mayWait, []Candidate{behind, primary}, "b", ReasonExpected},
		"none that covers in time":           {read, []Candidate{behind, primary}, "p", ReasonBehind},
		"a slow one is not waited for":       {mayWait, []Candidate{slow, primary}, "p", ReasonBehind},
		"one that cannot be reached":         {read, []Candidate{unreachable, ahead, primary}, "a", ReasonCovered},
		"none that can be reached":           {mayWait, []Candidate{unreachable, primary}, "p", ReasonBehind},
		"a lost one is left out":             {read, []Candidate{lost, primary}, "p", ReasonNoReplica},
		"write":                              {write, []Candidate{ahead, primary}, "p", ReasonWrite},
		"refused by a replica":               {refused, []Candidate{ahead, primary}, "p", ReasonRefused},
		"unknown mark":                       {unknownMark, []Candidate{ahead, primary}, "p", ReasonMark},
		"unknown age":                        {unknownAge, []Candidate{ahead, primary}, "p", ReasonMark},
		"may not use the primary":            {replicaOnly, []Candidate{behind, primary}, "", ReasonWait},
		"write waits for a primary":          {withPolicy(write, document.PrimaryMissingWait), []Candidate{ahead}, "", ReasonWait},
		"write refused without a primary":    {withPolicy(write, document.PrimaryMissingRefuse), []Candidate{ahead}, "", ReasonRefuse},
		"write with an unusable primary":     {withPolicy(write, document.PrimaryMissingRefuse), []Candidate{{Name: "p", Primary: true}}, "", ReasonWait},
		"covered read without a primary":     {withPolicy(read, document.PrimaryMissingRefuse), []Candidate{ahead}, "a", ReasonCovered},
		"stale read without a primary":       {withPolicy(unknownAge, document.PrimaryMissingServeReads), []Candidate{ahead}, "a", ReasonStale},
		"too old without a primary":          {withPolicy(unknownAge, document.PrimaryMissingServeReads), []Candidate{behind}, "", ReasonWait},
		"unknown mark without a primary":     {withPolicy(unknownMark, document.PrimaryMissingServeReads), []Candidate{ahead}, "", ReasonWait},
		"stale read while there is one":      {withPolicy(unknownAge, document.PrimaryMissingServeReads), []Candidate{ahead, primary}, "p", ReasonMark},
		"stale read, primary without lease":  {primaryUnavailable(withPolicy(unknownAge, document.PrimaryMissingServeReads)), []Candidate{ahead, primary}, "a", ReasonStale},
		"too old, primary without lease":     {primaryUnavailable(withPolicy(unknownAge, document.PrimaryMissingServeReads)), []Candidate{behind, primary}, "p", ReasonMark},
		"unknown mark, primary without one":  {primaryUnavailable(withPolicy(unknownMark, document.PrimaryMissingServeReads)), []Candidate{ahead, primary}, "p", ReasonMark},
		"waits, primary without lease":       {primaryUnavailable(withPolicy(unknownAge, document.PrimaryMissingWait)), []Candidate{ahead, primary}, "p", ReasonMark},
		"write under serve-reads is delayed": {withPolicy(write, document.PrimaryMissingServeReads), []Candidate{ahead}, "", ReasonWait},
	}
	convey.Convey("Route", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				d := Route(c.query, c.candidates, now)
				convey.So(d.Target, convey.ShouldEqual, c.target)
				convey.So(d.Reason, convey.ShouldEqual, c.reason)
				convey.So(d.Action == ActionSend, convey.ShouldEqual, c.target != "")
			})
		}
	})
	convey.Convey("Equally near replicas share the reads", t, func() {
		other, hits := sameDomain, map[string]int{}
		other.Name = "o"
		for i := range uint64(10) {
			q := read
			q.TieBreak = i
			hits[Route(q, []Candidate{sameDomain, other, primary}, now).Target]++
		}
		convey.So(hits, convey.ShouldResemble, map[string]int{"n": 5, "o": 5})
	})
}
