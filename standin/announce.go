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

// maxAnnounceInterval bounds the interval that a response may request.
const maxAnnounceInterval = 10 * time.Second

// requestAnnouncement requests an immediate announcement.
func (t *Target) requestAnnouncement() {
	select {
	case t.announceRequest <- struct{}{}:
	default:
	}
}

// announcement returns the content of the next announcement.
func (t *Target) announcement() jacinthtiller.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return jacinthtiller.Announcement{
		Database: t.cfg.Database, Target: t.cfg.Name, Address: t.Addr(), Domain: t.cfg.Domain,
		GroupSize: t.cfg.GroupSize, Position: t.lastPosition().String(), Term: t.term, Role: t.role, State: t.state,
	}
}

// announceLoop sends announcements to the owner once a response has named one, and otherwise to a configured host,
// changing to the next after a failure.
func (t *Target) announceLoop() {
	client := wire.NewHTTPClient()
	defer client.CloseIdleConnections()
	interval := time.Duration(t.cfg.AnnounceIntervalMicroseconds) * time.Microsecond
	timer := time.NewTimer(interval)
	defer timer.Stop()
	ownerURL, hostIndex := "", 0
	for {
		hostURL := ownerURL
		if hostURL == "" {
			hostURL = t.cfg.Announce[hostIndex%len(t.cfg.Announce)]
		}
		response, err := t.postAnnouncement(client, hostURL)
		wait := interval
		switch {
		case err == nil && response.Owner != "":
			ownerURL = response.Owner
			wait = max(wait, min(time.Duration(response.NextMilliseconds)*time.Millisecond, maxAnnounceInterval))
		case err != nil && ownerURL == "":
			hostIndex++
		case err != nil:
			ownerURL = ""
			t.requestAnnouncement()
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-t.announceRequest:
		case <-t.ctx.Done():
			return
		}
	}
}

// postAnnouncement sends one announcement and returns the response.
func (t *Target) postAnnouncement(client *http.Client, hostURL string) (jacinthtiller.AnnounceResponse, error) {
	t.waitWhileFrozen()
	u, err := url.Parse(hostURL)
	if err != nil {
		return jacinthtiller.AnnounceResponse{}, fmt.Errorf("announce URL: %w", err)
	}
	if !strings.HasSuffix(u.Path, wire.ProcAnnounce) {
		u = u.JoinPath(wire.ProcAnnounce)
	}
	t.mu.Lock()
	partitioned := t.isPartitioned([]string{u.Host, u.Hostname()})
	t.mu.Unlock()
	if partitioned {
		return jacinthtiller.AnnounceResponse{}, errPeerPartitioned
	}
	sent := t.announcement()
	body, err := json.Marshal(sent)
	if err != nil {
		return jacinthtiller.AnnounceResponse{}, fmt.Errorf("encode announcement: %w", err)
	}
	ctx, cancel := context.WithTimeout(t.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(body))
	if err != nil {
		return jacinthtiller.AnnounceResponse{}, fmt.Errorf("create announce request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	r, err := readAnnounceResponse(client.Do(req))
	if err == nil {
		t.mu.Lock()
		t.announcedState = sent.State
		t.mu.Unlock()
	}
	return r, err
}

// readAnnounceResponse checks and decodes the response to an announcement.
func readAnnounceResponse(resp *http.Response, err error) (jacinthtiller.AnnounceResponse, error) {
	var r jacinthtiller.AnnounceResponse
	if err != nil {
		return r, fmt.Errorf("announce: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return r, fmt.Errorf("read announce response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("announcement failed with status %s", resp.Status)
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decode announce response: %w", err)
	}
	return r, nil
}
