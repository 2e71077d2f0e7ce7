package controller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/apiserver"
	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/wire"
)

// maxRecordedEvents bounds the event record of a world. A random run records about ten
// thousand events.
const maxRecordedEvents = 40_000

// maxReportedEvents bounds the part of the record that is printed with a violation.
const maxReportedEvents = 400

// simEvent is one event of a simulated world. Fields that do not apply are zero.
type simEvent struct {
	at         time.Time
	what       string
	controller string
	machine    string
	job        string
	epoch, seq uint64
	token      uint64
	revision   uint64 // of the key-value store
	detail     string
}

// eventRecord keeps the last events of a world, which are printed with a violation. Recording
// draws no random numbers and takes no time on the virtual clock, so it does not change a run.
type eventRecord struct {
	disabled bool // no event is recorded: a large fleet produces too many
	events   []simEvent
	next     int // where the next event is written once the record is full
}

// add records an event. The caller holds the world's lock.
func (r *eventRecord) add(event simEvent) {
	if r.disabled {
		return
	}
	event.at = time.Now()
	if len(r.events) < maxRecordedEvents {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % maxRecordedEvents
}

// concerning returns the events of a job, the events of a machine, and the general events
// that belong to no job and no machine (terms, leases, faults of controllers), in the order in
// which they were recorded. At most the last maxReportedEvents are returned.
func (r *eventRecord) concerning(job, machine string) []simEvent {
	var found []simEvent
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		isGeneral := event.job == "" && event.machine == ""
		if isGeneral || event.job != "" && event.job == job || event.machine != "" && event.machine == machine {
			found = append(found, event)
		}
	}
	return found[max(0, len(found)-maxReportedEvents):]
}

// String formats an event as one line and omits fields that are zero.
func (e simEvent) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "%s %s", e.at.Format("15:04:05.000"), e.what)
	for _, field := range []struct{ name, value string }{{"controller", e.controller}, {"machine", e.machine}, {"job", e.job}} {
		if field.value != "" {
			fmt.Fprintf(&line, " %s=%s", field.name, field.value)
		}
	}
	for _, field := range []struct {
		name  string
		value uint64
	}{{"epoch", e.epoch}, {"seq", e.seq}, {"token", e.token}, {"revision", e.revision}} {
		if field.value != 0 {
			fmt.Fprintf(&line, " %s=%d", field.name, field.value)
		}
	}
	if e.detail != "" {
		line.WriteString(" " + e.detail)
	}
	return line.String()
}

// report formats events for the message of a violation, each on a new line.
func report(events []simEvent) string {
	var lines strings.Builder
	for _, event := range events {
		lines.WriteString("\n    " + event.String())
	}
	return lines.String()
}

// violateTask records the violation of a rule with the recorded events of the task's job and
// of the machine. The caller holds the lock.
func (w *world) violateTask(rule, task, machine, format string, args ...any) {
	job, _, _ := wire.ParseTaskName(task)
	w.violate(rule, "%s%s", fmt.Sprintf(format, args...), report(w.record.concerning(job, machine)))
}

// note records an event of one controller, or of the whole deployment if controller is empty.
// The caller holds the lock.
func (w *world) note(what, controller, detail string) {
	w.record.add(simEvent{what: what, controller: controller, detail: detail})
}

// recordCancelAnswer records how a controller answered a request to cancel a job.
func (w *world) recordCancelAnswer(controller string, request any, response *httpwire.Response) {
	cancel, ok := request.(apiserver.Cancel)
	if !ok {
		return
	}
	w.locked(func() {
		w.record.add(simEvent{what: "cancellation answered", controller: controller, job: cancel.JobID, revision: w.revision,
			detail: fmt.Sprintf("status %d: %s", response.Status, response.Body)})
	})
}

// recordFaults records which faults of controllers, of the cloud and of zones are active. The
// caller holds the lock.
func (w *world) recordFaults() {
	for _, n := range w.controllers {
		detail := fmt.Sprintf("store cut=%v workers cut=%v peers cut=%v heartbeats lost=%v", n.cutFromStore, n.cutFromWorkers, n.cutFromPeers, n.heartbeatsLost)
		w.note("controller's faults", n.set.Controller, detail)
	}
	w.note("faults", "", fmt.Sprintf("cloud away=%v partitioned zone=%q", w.cloudUnavailable, w.partitionedZone))
}

// recordChange records a change of the key-value store: a deleted key, or a written record
// (terms, registrations, revocations, inventories, jobs and others). The caller holds the lock.
func (w *world) recordChange(change wire.Change, revision uint64) {
	if w.record.disabled {
		return
	}
	if change.Delete != "" {
		w.record.add(simEvent{what: "store deletes", revision: revision, detail: change.Delete})
		return
	}
	record, err := records.Decode(change.Put, change.Value)
	if err != nil || record == nil {
		return
	}
	event := simEvent{what: "store writes", revision: revision}
	switch record := record.(type) {
	case *records.Job:
		event.job = record.ID
		event.detail = fmt.Sprintf("end=%q attempt=%d assignments=%+v", record.End, record.Attempt, record.Assignments)
	case *records.InventoryPage:
		w.recordInventoryPage(change.Put, record, revision)
		return
	default:
		event.detail = fmt.Sprintf("%s %s", change.Put, change.Value)
	}
	w.record.add(event)
}

// recordInventoryPage records an event for each machine on an inventory page that was written.
func (w *world) recordInventoryPage(key string, page *records.InventoryPage, revision uint64) {
	for _, machine := range page.Machines() {
		w.record.add(simEvent{what: "inventory written", machine: machine.Name, revision: revision,
			detail: fmt.Sprintf("%s addr=%q terminating=%v", key, machine.Addr, machine.Terminating)})
	}
}

// recordHeartbeat records a heartbeat when its worker sends it, or a copy that is delivered
// late. The caller holds the lock.
func (w *world) recordHeartbeat(what, controller string, heartbeat *wire.Heartbeat) {
	if w.record.disabled {
		return
	}
	w.record.add(simEvent{what: what, controller: controller, machine: heartbeat.Machine, epoch: heartbeat.Epoch,
		seq: heartbeat.Seq, token: heartbeat.FencingToken, detail: describeTasks(heartbeat.Tasks)})
}

// recordAnswer records the answer to a heartbeat, even if the simulation loses the answer
// afterwards; nil: no answer arrived in time. The caller holds the lock.
func (w *world) recordAnswer(controller string, heartbeat *wire.Heartbeat, response *httpwire.Response) {
	status := 0
	if response != nil {
		status = response.Status
	}
	w.record.add(simEvent{what: "heartbeat answered", controller: controller, machine: heartbeat.Machine,
		epoch: heartbeat.Epoch, seq: heartbeat.Seq, detail: fmt.Sprintf("status %d", status)})
}

// recordCommands records commands that are sent to a machine or carried out there. The
// caller holds the lock.
func (w *world) recordCommands(what, controller, machine string, epoch, token uint64, commands []wire.Command) {
	if w.record.disabled {
		return
	}
	w.record.add(simEvent{what: what, controller: controller, machine: machine, epoch: epoch, token: token, detail: describeCommands(commands)})
	for _, command := range commands {
		job, _, _ := wire.ParseTaskName(command.Task)
		w.record.add(simEvent{what: what, controller: controller, job: job, token: token,
			detail: fmt.Sprintf("%s %s#%d on %s", command.Op, command.Task, command.Attempt, machine)})
	}
}

// recordTask records an event of a task on the machine. The caller holds the lock.
func (m *simWorker) recordTask(what string, task *simTask) {
	if m.world.record.disabled {
		return
	}
	job, _, _ := wire.ParseTaskName(task.name)
	m.world.record.add(simEvent{what: what, machine: m.name, job: job, epoch: m.epoch, token: m.token,
		detail: fmt.Sprintf("%s#%d %s %s", task.name, task.attempt, task.state, task.cause)})
}

// recordState records an event of the machine with its active faults. The caller holds the
// lock.
func (m *simWorker) recordState(what string) {
	m.world.record.add(simEvent{what: what, machine: m.name, epoch: m.epoch, token: m.token,
		detail: fmt.Sprintf("hung=%v cut=%v deaf=%v", m.hung, m.disconnected, m.receivesNothing)})
}

func describeTasks(tasks []wire.TaskStatus) string {
	described := make([]string, len(tasks))
	for i, task := range tasks {
		described[i] = fmt.Sprintf("%s#%d:%s", task.Task, task.Attempt, task.State)
	}
	return strings.Join(described, " ")
}

func describeCommands(commands []wire.Command) string {
	described := make([]string, len(commands))
	for i, command := range commands {
		described[i] = fmt.Sprintf("%s:%s#%d", command.Op, command.Task, command.Attempt)
	}
	return strings.Join(described, " ")
}

// The message of a violation contains the events of its job since the submission and the events
// of its machine, and no events of other jobs. The event record is bounded.
func TestViolationIncludesEventHistory(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newStartedWorld(11)
		w.startService("run-000001", 2)
		w.startService("run-000002", 2)
		time.Sleep(60 * time.Second)
		w.locked(func() {
			m := w.machines[w.machineOf("run-000001")]
			w.violateTask("ran_cancelled", "run-000001/0", m.name, "a trial")
		})
		violation := w.violations[0]
		for _, part := range []string{"ran_cancelled: a trial\n", "store writes job=run-000001", "heartbeat sent", "heartbeat answered", "task starts", "rv/part/"} {
			if !strings.Contains(violation, part) {
				t.Errorf("the violation does not contain %q:\n%s", part, violation)
			}
		}
		if strings.Contains(violation, "store writes job=run-000002") {
			t.Errorf("the violation contains events of another job:\n%s", violation)
		}
		w.violations = nil
		w.checkAndShutdown(t)
		for range 2 * maxRecordedEvents {
			w.record.add(simEvent{what: "more"})
		}
		if n := len(w.record.events); n != maxRecordedEvents {
			t.Errorf("%d events are kept", n)
		}
		if n := len(w.record.concerning("", "")); n != maxReportedEvents {
			t.Errorf("%d events are reported", n)
		}
	})
}

// machineOf returns a machine that runs a task of a job. The caller holds the lock.
func (w *world) machineOf(job string) string {
	for _, m := range w.machines {
		for _, task := range m.tasks {
			if id, _, _ := wire.ParseTaskName(task.name); id == job {
				return m.name
			}
		}
	}
	return ""
}
