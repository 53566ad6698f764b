package pool

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// answersAge is how long an answer is recognised at least when it comes again, unless maxAnswers others came after it.
	answersAge = 5 * time.Second
	// maxAnswers bounds the answers that are remembered in each half of an answerLog; a target that takes 5 ms for a statement
	// sends fewer on one connection within answersAge.
	maxAnswers = 4096
)

// verdict says whether an answer belongs to the request that waits for one. Answers carry no id of their request.
type verdict int

const (
	// verdictOwn means that the answer is accepted as that to the request.
	verdictOwn verdict = iota
	// verdictForeign means that the answer certainly belongs to another request.
	verdictForeign
	// verdictUnclear means that the answer may be that to the request, or the repetition of an earlier one.
	verdictUnclear
)

// The reasons of verdicts. They are label values of a metric.
const (
	reasonSignatureSeen = "signature-seen" // the signature is that of an earlier request
	reasonUnsigned      = "unsigned"       // a success without a signature, which a guest's request always has
	reasonSigned        = "signed"         // a success with a signature, which the host's own requests never have
	reasonRows          = "rows"           // rows where there are none, or no rows
	reasonState         = "state"          // a state that cannot follow the request
	reasonEqual         = "equal"          // an answer without a signature that is equal to an earlier one
	reasonDoubtful      = "doubtful"       // an error after a success that may have been a repetition
	reasonEarly         = "early"          // it arrived before the request was sent
	reasonSuperseded    = "superseded"     // it was unclear, and another answer followed
	reasonUndecided     = "undecided"      // it was unclear, and stayed so
)

// expectation is what is known of a request before its answer.
type expectation struct {
	// id is the guest's request ID; empty for a request of the host itself.
	id string
	// begins is true for a request that begins a transaction, and status for a position query of the host itself.
	begins, status bool
	// state is that of the connection before the request.
	state byte
	// deadline is when the wait for the answer ends.
	deadline time.Time
}

// allowsState reports whether the state can follow the request.
func (e expectation) allowsState(state byte) bool {
	switch {
	case e.state != jacinthtiller.StateIdle:
		return true
	case state == jacinthtiller.StateTransaction:
		return e.begins
	}
	return state != jacinthtiller.StateFailed
}

// answerLog remembers the answers that were accepted on one connection lately. An answer is identified by the digest of its
// signature, of an error, or of a success without a signature with its state and position.
type answerLog struct {
	// newer and older map the digests of answers to those of the IDs of their requests. When newer is full or rotateAt has
	// passed, it becomes older, and the former older is forgotten.
	newer, older map[uint64]uint64
	rotateAt     time.Time
	// doubtful is true when a success without a signature was accepted that was equal to an earlier answer, and no answer since
	// proves that it was not a repetition. If it was, the answer to that request is still to come.
	doubtful bool
}

// judge returns whether r can be the answer to the expected request, and why it may not be.
func (l *answerLog) judge(e expectation, r jacinthtiller.Reply) (verdict, string) {
	request, seen := l.find(digestOf(r))
	switch {
	case r.Signature != "" && e.id == "":
		return verdictForeign, reasonSigned
	case r.Signature != "" && !seen:
		return verdictOwn, "" // a signature is made for one run
	case r.Signature != "" && request != xxhash.Sum64String(e.id):
		return verdictForeign, reasonSignatureSeen
	case r.Signature == "" && r.ErrorCode == "" && e.id != "":
		return verdictForeign, reasonUnsigned
	case r.ErrorCode == "" && e.id == "" && r.HasRows != e.status:
		return verdictForeign, reasonRows
	case r.ErrorCode == "" && (!e.allowsState(r.State) || e.id == "" && e.begins && r.State != jacinthtiller.StateTransaction):
		return verdictForeign, reasonState
	case !e.allowsState(r.State):
		return verdictUnclear, reasonState
	case seen && (r.Signature != "" || r.ErrorCode != "" || e.begins || e.status):
		return verdictUnclear, reasonEqual
	case l.doubtful && r.ErrorCode != "":
		return verdictUnclear, reasonDoubtful
	}
	return verdictOwn, ""
}

// find returns the digest of the request to which the answer with the digest was accepted, and whether there is one.
func (l *answerLog) find(digest uint64) (request uint64, seen bool) {
	if request, seen = l.newer[digest]; !seen {
		request, seen = l.older[digest]
	}
	return request, seen
}

// add records an answer that was accepted for the request with the ID.
func (l *answerLog) add(id string, r jacinthtiller.Reply, now time.Time) {
	digest := digestOf(r)
	_, seen := l.find(digest)
	l.doubtful = r.Signature == "" && (l.doubtful || seen && r.ErrorCode == "" && !r.HasRows)
	if len(l.newer) >= maxAnswers || now.After(l.rotateAt) {
		l.newer, l.older = map[uint64]uint64{}, l.newer
		l.rotateAt = now.Add(answersAge)
	}
	l.newer[digest] = xxhash.Sum64String(id)
}

// check holds the answers of which one is that to the expected request, until the request that is sent behind it to find out
// has been answered.
type check struct {
	candidates []jacinthtiller.Reply
	// repeated is true when the request has been sent again, because the first answer to it may have been a repetition too.
	repeated bool
	// end is when the wait for the answer to the check ends; zero while only one answer is unclear.
	end time.Time
}

// earlierEnd returns the end of the check if there is one before the time.
func (k *check) earlierEnd(until time.Time) time.Time {
	if k == nil || k.end.IsZero() {
		return until
	}
	return earlier(until, k.end)
}

func (k *check) ended(now time.Time) bool { return k != nil && !k.end.IsZero() && !now.Before(k.end) }

// answeredBy reports whether r answers the check. The answer to a request that begins a transaction has the same form and comes
// first; in a failed transaction the check is refused.
func (k *check) answeredBy(e expectation, r jacinthtiller.Reply) bool {
	switch {
	case r.ErrorCode != "":
		return r.State == jacinthtiller.StateFailed && k.holds(r.State)
	case r.Signature != "" || r.HasRows:
		return false
	}
	return !e.begins || r.State != jacinthtiller.StateTransaction || k.holds(r.State)
}

func (k *check) holds(state byte) bool {
	return slices.ContainsFunc(k.candidates, func(r jacinthtiller.Reply) bool { return r.State == state })
}

// pick returns the answer to the request, given the state that the connection has after it, and false if it stays unclear. Of
// two errors it is the one that promises less, and of two positions the newer one: a target's positions do not go back.
func (k *check) pick(state byte) (out jacinthtiller.Reply, ok bool) {
	for _, r := range k.candidates {
		switch {
		case r.State != state:
		case !ok:
			out, ok = r, true
		case (r.ErrorCode == "") != (out.ErrorCode == ""):
			return out, false
		case r.ErrorCode != "" && (!r.ErrorCode.ProvesNoEffect() || out.ErrorCode.ProvesNoEffect()),
			r.ErrorCode == "" && r.Position.Compare(out.Position) >= 0:
			out = r
		}
	}
	return out, ok
}

func digestOf(r jacinthtiller.Reply) uint64 {
	if r.Signature != "" {
		return xxhash.Sum64String(r.Signature)
	}
	if r.ErrorCode != "" {
		return xxhash.Sum64(r.Body)
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(r.Body) // never fails
	b := binary.BigEndian.AppendUint64([]byte{r.State}, r.Position.Term)
	_, _ = d.Write(binary.BigEndian.AppendUint64(b, r.Position.Index))
	return d.Sum64()
}
