package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// longestInterval bounds the interval that an answer may ask for.
const longestInterval = 10 * time.Second

// announceNow asks for an announcement at once.
func (t *Target) announceNow() {
	select {
	case t.announceRequest <- struct{}{}:
	default:
	}
}

// announcement returns what the target says of itself.
func (t *Target) announcement() jacinthtiller.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return jacinthtiller.Announcement{
		Database: t.cfg.Database, Target: t.cfg.Name, Address: t.Addr(), Domain: t.cfg.Domain,
		GroupSize: t.cfg.GroupSize, Position: t.lastPosition().String(), Term: t.term, Role: t.role, State: t.state,
	}
}

// announce posts announcements to the owner, once one is named, or to the listed hosts in turn.
func (t *Target) announce() {
	client := wire.NewHTTPClient()
	defer client.CloseIdleConnections()
	interval := time.Duration(t.cfg.AnnounceIntervalMicroseconds) * time.Microsecond
	due := time.NewTimer(interval)
	defer due.Stop()
	owner, next := "", 0
	for {
		to := owner
		if to == "" {
			to = t.cfg.Announce[next%len(t.cfg.Announce)]
		}
		r, err := t.post(client, to)
		wait := interval
		switch {
		case err == nil && r.Owner != "":
			owner = r.Owner
			wait = max(wait, min(time.Duration(r.NextMilliseconds)*time.Millisecond, longestInterval))
		case err != nil && owner == "":
			next++
		case err != nil:
			owner = ""
			t.announceNow()
		}
		due.Reset(wait)
		select {
		case <-due.C:
		case <-t.announceRequest:
		case <-t.ctx.Done():
			return
		}
	}
}

// post sends one announcement and returns the answer.
func (t *Target) post(client *http.Client, to string) (jacinthtiller.AnnounceResponse, error) {
	t.waitWhileFrozen()
	u, err := url.Parse(to)
	if err != nil {
		return jacinthtiller.AnnounceResponse{}, fmt.Errorf("announce URL: %w", err)
	}
	if !strings.HasSuffix(u.Path, wire.ProcAnnounce) {
		u = u.JoinPath(wire.ProcAnnounce)
	}
	t.mu.Lock()
	cut := t.isCut([]string{u.Host, u.Hostname()})
	t.mu.Unlock()
	if cut {
		return jacinthtiller.AnnounceResponse{}, errCut
	}
	a := t.announcement()
	body, err := json.Marshal(a)
	if err != nil {
		return jacinthtiller.AnnounceResponse{}, fmt.Errorf("encode announcement: %w", err)
	}
	ctx, cancel := context.WithTimeout(t.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(body))
	if err != nil {
		return jacinthtiller.AnnounceResponse{}, fmt.Errorf("make announcement: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	r, err := answer(client.Do(req))
	if err == nil {
		t.mu.Lock()
		t.announcedState = a.State
		t.mu.Unlock()
	}
	return r, err
}

// answer reads the answer to an announcement.
func answer(resp *http.Response, err error) (jacinthtiller.AnnounceResponse, error) {
	var r jacinthtiller.AnnounceResponse
	if err != nil {
		return r, fmt.Errorf("announce: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return r, fmt.Errorf("read answer to announcement: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("announcement answered %s", resp.Status)
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decode answer to announcement: %w", err)
	}
	return r, nil
}
