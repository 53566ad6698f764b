package quorum_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/quorum"
)

// TestVoteAfterRestart guards against the election of a second leader while the first may still grant leases on its last
// confirmation: a follower that restarts after it has acknowledged a heartbeat must withhold its vote.
func TestVoteAfterRestart(t *testing.T) {
	convey.Convey("A restarted follower", t, func() {
		now := time.Unix(1000, 0)
		membership := quorum.Membership{Group: "g"}
		for _, n := range []string{"a", "b", "c"} {
			membership = membership.With(quorum.Member{Name: n, Identity: "id-" + n, Voter: true})
		}
		membership.Founders = membership.Members
		founding := quorum.Snapshot{Index: 1, Term: 1, Membership: membership}
		b := quorum.NewCore(now, quorum.Settings{Name: "b", Identity: "id-b"}, quorum.State{Term: 5, Leader: "a"}, founding, nil)
		requestVoteAs := func(from string, term uint64, at time.Time, kind quorum.Kind) (granted bool) {
			e := b.Step(at, quorum.Received{Message: quorum.Message{
				Kind: kind, From: from, To: "b", Identity: "id-" + from, Group: "g", PeerIdentity: "id-b", Term: term, Index: 1, LogTerm: 1,
			}})
			for _, m := range e.Messages {
				granted = granted || m.To == from && !m.Reject
			}
			return granted
		}
		requestVote := func(at time.Time, kind quorum.Kind) bool { return requestVoteAs("c", 6, at, kind) }
		convey.Convey("votes at once for the former leader, which requests votes for a later term", func() {
			convey.So(requestVoteAs("a", 6, now, quorum.KindPreVote), convey.ShouldBeTrue)
			convey.So(requestVoteAs("a", 6, now, quorum.KindVote), convey.ShouldBeTrue)
		})
		convey.Convey("accepts the report of a member that the former leader is gone, for the same term only", func() {
			sendLeaderGone := func(term uint64) {
				b.Step(now, quorum.Received{Message: quorum.Message{
					Kind: quorum.KindPreVote, From: "c", To: "b", Identity: "id-c", Group: "g", PeerIdentity: "id-b",
					Term: term, Index: 1, LogTerm: 1, LeaderGone: true,
				}})
			}
			sendLeaderGone(7)
			convey.So(requestVoteAs("c", 6, now, quorum.KindVote), convey.ShouldBeFalse)
			sendLeaderGone(6)
			convey.So(requestVoteAs("c", 6, now, quorum.KindVote), convey.ShouldBeTrue)
		})
		convey.Convey("requests votes itself after a hello of an empty folder under the former leader's name, not under another", func() {
			campaignsAfterHello := func(name string) (campaigns bool) {
				hello := quorum.Message{Kind: quorum.KindHello, From: name, To: "b", Identity: "new"}
				for _, m := range b.Step(now, quorum.Received{Message: hello}).Messages {
					campaigns = campaigns || m.Kind == quorum.KindPreVote && m.LeaderGone
				}
				return campaigns
			}
			convey.So(campaignsAfterHello("c"), convey.ShouldBeFalse)
			convey.So(campaignsAfterHello("a"), convey.ShouldBeTrue)
		})
		convey.Convey("ignores a pre-vote that the former leader sent before it was elected", func() {
			convey.So(requestVoteAs("a", 5, now, quorum.KindPreVote), convey.ShouldBeFalse)
			convey.So(requestVote(now, quorum.KindPreVote), convey.ShouldBeFalse)
		})
		convey.Convey("grants no vote at first", func() {
			convey.So(requestVote(now.Add(10*time.Millisecond), quorum.KindPreVote), convey.ShouldBeFalse)
			convey.So(requestVote(now.Add(quorum.NoElectionPeriod-time.Millisecond), quorum.KindVote), convey.ShouldBeFalse)
		})
		convey.Convey("votes once another leader may be elected", func() {
			convey.So(requestVote(now.Add(quorum.NoElectionPeriod), quorum.KindPreVote), convey.ShouldBeTrue)
			convey.So(requestVote(now.Add(quorum.NoElectionPeriod), quorum.KindVote), convey.ShouldBeTrue)
		})
	})
}

// TestMessageJSON guards against a rename of Message.NonVoter that changes the JSON form of a message: the handlers also
// accept JSON, in which a field without a json tag has its Go name as its key.
func TestMessageJSON(t *testing.T) {
	convey.Convey("Whether the sender is a non-voter is in JSON under its former name", t, func() {
		b, err := json.Marshal(quorum.Message{})
		convey.So(err, convey.ShouldBeNil)
		var keys map[string]json.RawMessage
		convey.So(json.Unmarshal(b, &keys), convey.ShouldBeNil)
		convey.Convey("also when it is false", func() {
			convey.So(keys, convey.ShouldContainKey, "Spare")
			convey.So(string(keys["Spare"]), convey.ShouldEqual, "false")
			convey.So(keys, convey.ShouldNotContainKey, "NonVoter")
		})
		convey.Convey("and is decoded from it", func() {
			var m quorum.Message
			convey.So(json.Unmarshal([]byte(`{"Spare":true}`), &m), convey.ShouldBeNil)
			convey.So(m.NonVoter, convey.ShouldBeTrue)
		})
	})
}
