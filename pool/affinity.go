package pool

import (
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// operationsPerInFlight is the number of operations a second for which an account uses one statement in flight at a gateway:
// half of what fits with statements of 20 ms, so that the account does not wait for itself.
const operationsPerInFlight = 25

// accountRelayTimeout is the idle timeout of relay connections when there are accounts. A host then uses all gateways of a target
// and each of them less often: at 10 operations a second before 24 targets with 5 gateways, each one every 12 s. An
// opening costs a host of another region two round trips of 24 ms.
const accountRelayTimeout = 2 * time.Minute

// affinity determines through which gateway the jobs of each account reach a target.
type affinity struct {
	// ranking orders paths, which lead to those gateways that understand jobs of accounts; the path of this host is its direct
	// one.
	ranking jacinthtiller.AccountRanking
	paths   []*path
	// inFlight is the number of statements that each gateway may have in flight.
	inFlight int
	demand   demand
}

// updateAffinity adapts the affinity to the gateways, to which relayPaths lead. The caller holds t.mu.
func (t *Target) updateAffinity(gateways []jacinthtiller.Host) {
	a := &t.affinity
	a.inFlight, a.paths = t.maxInFlight, nil
	var hosts []jacinthtiller.Host
	for _, h := range gateways {
		p := t.directPath
		if h.Name != t.p.host {
			i := slices.IndexFunc(t.relayPaths, func(p *path) bool { return p.host == h.Name })
			if i < 0 || !h.ServesAccounts {
				continue
			}
			p = t.relayPaths[i]
		}
		hosts, a.paths = append(hosts, h), append(a.paths, p)
	}
	a.ranking = jacinthtiller.RankGateways(t.spec, hosts, t.p.host)
}

// order returns the indexes of the paths in the order in which an operation of the account, which is counted, tries them. Share
// is the account's share of all limits, and hosts the number of live hosts.
func (a *affinity) order(account string, share float64, hosts int, now time.Time) []int {
	rate := a.demand.record(account, hosts, now)
	return a.ranking.Order(account, share, int(rate)/(operationsPerInFlight*max(1, a.inFlight))+1)
}

// pickPathFor returns the first usable path in the account's order for an operation, or nil.
func (t *Target) pickPathFor(account string, now time.Time) *path {
	if account == "" {
		return t.pickPath(now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.retired {
		return nil
	}
	if len(t.affinity.paths) == 0 && t.direct && t.directPath.usable(now) {
		return t.directPath
	}
	for _, i := range t.affinity.order(account, t.p.accountShares().Share(account), int(t.p.liveHosts.Load()), now) {
		if p := t.affinity.paths[i]; (p == t.directPath || t.p.relays != nil) && p.usable(now) {
			return p
		}
	}
	return nil
}
