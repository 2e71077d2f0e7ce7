package loopback

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"ravenport/wire"
)

const (
	// replyTimeout is the time without a reply after which a worker tries the next
	// controller.
	replyTimeout = 4 * time.Second
	// minHeartbeatInterval is the minimum time between two heartbeats of a worker.
	minHeartbeatInterval = 500 * time.Millisecond
	// retryDelay is the time that a worker waits after a failed heartbeat.
	retryDelay = time.Second
)

// run sends heartbeats to one controller at a time until the machine is terminated.
func (m *machine) run(fleet *fleet) {
	if err := m.listen(fleet); err != nil {
		panic(fmt.Sprintf("listening on %s: %v", m.addr, err))
	}
	m.mu.Lock()
	m.leaseRenewedAt = time.Now()
	m.mu.Unlock()
	go m.advanceUntilTerminated()
	target := rand.IntN(len(fleet.controllers))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var nextAt, sentAt time.Time
	changed := true
	for {
		select {
		case <-m.done:
			return
		case <-m.heartbeatDue:
			changed = true
		case <-ticker.C:
		}
		now := time.Now()
		early := changed && now.Sub(sentAt) >= minHeartbeatInterval
		if now.Before(nextAt) && !early {
			continue
		}
		changed = false
		sentAt = time.Now()
		nextAt = sentAt.Add(time.Duration(float64(fleet.heartbeatPeriod) * (0.75 + rand.Float64()/2)))
		var immediately bool
		target, immediately = m.sendHeartbeat(fleet, target)
		if immediately {
			nextAt = time.Now()
		}
	}
}

// sendHeartbeat sends one heartbeat to a controller. It returns the controller for the next
// heartbeat, and whether that heartbeat is due immediately.
func (m *machine) sendHeartbeat(fleet *fleet, target int) (next int, immediately bool) {
	if fleet.cutFromWorkers[target].Load() {
		time.Sleep(replyTimeout)
		return fleet.nextController(target), true
	}
	m.mu.Lock()
	sentAt, epoch := time.Now(), m.epoch
	body := m.nextHeartbeat()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	response, err := fleet.workerClient(m, target).Do(ctx, "POST", wire.PathHeartbeat, body)
	fleet.heartbeats.Add(1)
	switch {
	case err == nil && response.Status == 200:
		m.handleReply(fleet, response.Body, sentAt, epoch)
		return target, false
	case err == nil && response.Status == 421:
		var redirect wire.Redirect
		if err := json.Unmarshal(response.Body, &redirect); err == nil {
			if to := fleet.controllerIndex(redirect.Controller); to >= 0 && to != target {
				return to, true
			}
		}
	}
	time.Sleep(retryDelay)
	return fleet.nextController(target), true
}

// nextController returns the index of the controller that a worker tries after controller i.
func (f *fleet) nextController(i int) int { return (i + 1) % len(f.controllers) }

// handleReply renews the worker's lease and executes the commands of a reply. It ignores a
// reply with a lower fencing token than the worker's, a reply to a heartbeat of an earlier
// epoch, and any reply after the machine was terminated.
func (m *machine) handleReply(f *fleet, body []byte, sentAt time.Time, epoch uint64) {
	var reply wire.HeartbeatReply
	if err := json.Unmarshal(body, &reply); err != nil {
		panic(fmt.Sprintf("cannot decode reply to heartbeat: %v", err))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if reply.FencingToken < m.fencingToken || epoch != m.epoch || m.terminated.Load() {
		return
	}
	if reply.FencingToken > m.fencingToken {
		m.requestHeartbeat()
	}
	m.leaseRenewedAt = sentAt
	m.executeUnderToken(f, reply.FencingToken, reply.Commands, sentAt)
}

// nextHeartbeat encodes the next heartbeat. The caller must hold the lock.
func (m *machine) nextHeartbeat() []byte {
	m.advance()
	m.seq++
	heartbeat := wire.Heartbeat{
		Machine:      m.name,
		Addr:         m.addr,
		Type:         machineType.Name,
		Zone:         m.zone,
		Spot:         m.spot,
		Epoch:        m.epoch,
		Seq:          m.seq,
		FencingToken: m.fencingToken,
		Tasks:        []wire.TaskStatus{},
	}
	if !m.reclaimedAt.IsZero() {
		remaining := max(0, time.Until(m.reclaimedAt).Seconds())
		heartbeat.NoticeS = &remaining
	}
	for _, t := range m.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		panic(err) // cannot occur: wire.Heartbeat can be encoded
	}
	return body
}

// requestHeartbeat requests that the next heartbeat is sent before its regular time. It
// does not block.
func (m *machine) requestHeartbeat() {
	select {
	case m.heartbeatDue <- struct{}{}:
	default:
	}
}
