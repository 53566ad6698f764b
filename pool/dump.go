package pool

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// maxDumpedAccounts bounds the accounts that a dump names for each target.
const maxDumpedAccounts = 10

// TargetState is the state of one target in a dump.
type TargetState struct {
	Target jacinthtiller.Target `json:"target"`
	Open   int                  `json:"open"`
	Idle   int                  `json:"idle"`
	// IdleAccounts is the number of accounts with idle connections, and IdleByAccount their connections; it names at most
	// maxDumpedAccounts of them.
	IdleAccounts        int                    `json:"idle-accounts,omitempty"`
	IdleByAccount       map[string]int         `json:"idle-by-account,omitempty"`
	FairShare           int                    `json:"fair"`
	Load                int                    `json:"load"`
	Waiting             map[string]int         `json:"waiting"`
	LatencyMicroseconds int64                  `json:"latency-microseconds"`
	Seen                jacinthtiller.Position `json:"seen"`
	Direct              bool                   `json:"direct"`
	// LearnedLimit is the learned limit of this gateway's statements in flight; 0 when none is learned.
	LearnedLimit float64   `json:"learned-limit,omitempty"`
	FailingSince time.Time `json:"failing-since"`
}

// Dump returns the state of all targets, ordered by database and name.
func (p *Pool) Dump() []TargetState {
	var out []TargetState
	for _, t := range p.Targets() {
		waiting := t.gate.Stats().Waiting
		t.mu.Lock()
		byAccount := t.idle.accounts()
		accounts := len(byAccount)
		for _, name := range slices.Sorted(maps.Keys(byAccount))[min(accounts, maxDumpedAccounts):] {
			delete(byAccount, name)
		}
		out = append(out, TargetState{
			Target: t.spec, Open: t.openConns, Idle: len(t.idle), IdleAccounts: accounts, IdleByAccount: byAccount,
			FairShare: t.fairShare, Load: t.load, Waiting: waiting,
			LatencyMicroseconds: t.latencyMicroseconds, Seen: t.newestPosition, Direct: t.direct, FailingSince: t.directPath.failureStart(),
			LearnedLimit: t.learned.value(),
		})
		t.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b TargetState) int {
		return strings.Compare(a.Target.Database+"/"+a.Target.Name, b.Target.Database+"/"+b.Target.Name)
	})
	return out
}
