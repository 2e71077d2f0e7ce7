package loopback

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"ravenport/wire"
)

// replyTimeout is after which time without an answer a worker turns to the next
// controller, and minHeartbeatGap the least time between two of its reports.
const (
	replyTimeout    = 4 * time.Second
	minHeartbeatGap = 500 * time.Millisecond
)

// run is a worker's life: it reports to one controller at a time.
func (m *machine) run(f *fleet) {
	if err := m.listen(f); err != nil {
		panic(fmt.Sprintf("listening on %s: %v", m.addr, err))
	}
	m.mu.Lock()
	m.leaseRenewedAt = time.Now()
	m.mu.Unlock()
	go m.advanceUntilStopped()
	node := rand.IntN(len(f.controllers))
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	var next, sent time.Time
	changed := true
	for {
		select {
		case <-m.stopped:
			return
		case <-m.heartbeatDue:
			changed = true
		case <-look.C:
		}
		if now := time.Now(); now.Before(next) && !(changed && now.Sub(sent) >= minHeartbeatGap) {
			continue
		}
		changed = false
		sent = time.Now()
		next = sent.Add(time.Duration(float64(f.heartbeatPeriod) * (0.75 + rand.Float64()/2)))
		var soon bool
		if node, soon = m.sendHeartbeat(f, node); soon {
			next = time.Now()
		} else if node < 0 {
			return
		}
	}
}

// sendHeartbeat makes one report. It returns the controller for the next one, and whether
// that is due at once.
func (m *machine) sendHeartbeat(f *fleet, node int) (int, bool) {
	if f.cutFromWorkers[node].Load() {
		time.Sleep(replyTimeout)
		return (node + 1) % len(f.controllers), true
	}
	m.mu.Lock()
	sent, session := time.Now(), m.epoch
	body := m.nextHeartbeat()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	msg, err := f.workerClient(m, node).Do(ctx, "POST", wire.PathHeartbeat, body)
	f.heartbeats.Add(1)
	switch {
	case err == nil && msg.Status == 200:
		var reply wire.HeartbeatReply
		if err := json.Unmarshal(msg.Body, &reply); err != nil {
			panic(fmt.Sprintf("unreadable answer to a report: %v", err))
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if reply.FencingToken < m.fencingToken || session != m.epoch || m.ended.Load() {
			return node, false
		}
		if reply.FencingToken > m.fencingToken {
			m.requestHeartbeat()
		}
		m.leaseRenewedAt = sent
		m.executeUnderToken(f, reply.FencingToken, reply.Commands, sent)
		return node, false
	case err == nil && msg.Status == 421:
		var redirect wire.Redirect
		if err := json.Unmarshal(msg.Body, &redirect); err == nil {
			if to := f.controllerIndex(redirect.Controller); to >= 0 && to != node {
				return to, true
			}
		}
	}
	time.Sleep(time.Second)
	return (node + 1) % len(f.controllers), true
}

// nextHeartbeat writes the next report. The caller holds the lock.
func (m *machine) nextHeartbeat() []byte {
	m.advance()
	m.seq++
	r := wire.Heartbeat{Machine: m.name, Addr: m.addr, Type: machineType.Name, Zone: m.zone, Spot: m.spot, Epoch: m.epoch, Seq: m.seq, FencingToken: m.fencingToken, Tasks: []wire.TaskStatus{}}
	if !m.reclaimedAt.IsZero() {
		left := max(0, time.Until(m.reclaimedAt).Seconds())
		r.NoticeS = &left
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // a type of wire
	}
	return body
}

// requestHeartbeat has the next report made soon.
func (m *machine) requestHeartbeat() {
	select {
	case m.heartbeatDue <- struct{}{}:
	default:
	}
}
