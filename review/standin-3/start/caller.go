package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// requestInterval is the time between two requests of the clients.
const requestInterval = 200 * time.Millisecond

// callers are an operator, who sends the first configuration until it is accepted, and clients at the hosts.
type callers struct {
	record *record
	group  sync.WaitGroup
	ctx    context.Context
	stop   context.CancelFunc

	mu sync.Mutex // guards the fields below
	// acceptedAt is when the configuration was acknowledged; zero before.
	acceptedAt time.Time
	requests   []request
}

// request is one request of a client.
type request struct {
	sentAt time.Time
	served bool
}

func newCallers(r *record) *callers {
	c := &callers{record: r}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// sendConfig sends the first configuration, to each control process in turn, until one acknowledges it.
func (c *callers) sendConfig(control []string) {
	body, _ := json.Marshal(map[string]any{ // maps of plain values can always be encoded
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-1", "database_name": databaseName, "path_prefix": "/", "type": "primary", "timeout_ms": 1000,
			"target_latency_ms": 500, "priority": 1, "service": serviceName, "max_attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_check_path": "/health", "max_connections": 33, "protocol": "h1", "tls": false, "sync_replicas": 0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	client := &http.Client{Timeout: time.Second}
	last := ""
	for i := 0; c.ctx.Err() == nil; i++ {
		to := control[i%len(control)]
		status, err := put(client, "http://"+to+"/jacinthtiller/config", body)
		if status == http.StatusOK {
			c.record.write("operator: %s acknowledges configuration 1", to)
			c.mu.Lock()
			c.acceptedAt = time.Now()
			c.mu.Unlock()
			return
		}
		answer := fmt.Sprintf("status %d", status)
		if err != nil {
			answer = "no answer"
		}
		if answer != last || i%20 == 0 {
			c.record.write("operator: configuration 1 to %s, call %d: %s", to, i+1, answer)
			last = answer
		}
		c.pause(500 * time.Millisecond)
	}
}

func (c *callers) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}

// runClients sends single reads and writes to the hosts, each on a session of its own.
func (c *callers) runClients(hosts []string) {
	for n := 0; c.ctx.Err() == nil; n++ {
		host, text := hosts[n%len(hosts)], fmt.Sprintf("READ item%d", n%7)
		if n%3 == 0 {
			text = fmt.Sprintf("WRITE item%d data%d", n%7, n)
		}
		c.group.Go(func() {
			sentAt := time.Now()
			answer := runRequest(host, fmt.Sprintf("%016x", n+1), text)
			served := strings.HasPrefix(answer, "COMPLETE sig") || strings.HasPrefix(answer, "ROW")
			c.record.write("client: %q to %s: %s", text, host, answer)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.requests = append(c.requests, request{sentAt: sentAt, served: served})
		})
		c.pause(requestInterval)
	}
}

// runRequest runs one request on a new session and returns the first line of the answer.
func runRequest(host, id, text string) string {
	const patience = 2 * time.Second
	n, err := net.DialTimeout("tcp", host, patience)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = n.Close() }()
	_ = n.SetDeadline(time.Now().Add(patience))
	r := bufio.NewReader(n)
	fmt.Fprintf(n, "STARTUP %s user\r\n", databaseName)
	line, err := readLine(r)
	if err != nil || !strings.HasPrefix(line, "READY") {
		return "no session: " + line
	}
	fmt.Fprintf(n, "QUERY %s %s\r\n", id, text)
	line, err = readLine(r)
	if err != nil {
		return "no answer"
	}
	fmt.Fprint(n, "TERMINATE\r\n")
	return line
}

// countSince returns how many requests were sent since the time, and how many of them were served.
func (c *callers) countSince(at time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.requests {
		if x.sentAt.Before(at) {
			continue
		}
		sent++
		if x.served {
			served++
		}
	}
	return sent, served
}
