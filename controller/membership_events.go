package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/detector"
	"ravenport/history"
	"ravenport/logkey"
)

// eventLog holds the latest membership events in memory, and appends all events to the
// history if there is one.
type eventLog struct {
	recent []history.Event
	writer *actor.Ref // nil: there is no history, events are kept in memory only
}

// add adds an event. Only the latest StatusEventCount events are kept in memory.
func (l *eventLog) add(e history.Event) {
	l.recent = append(l.recent, e)
	l.recent = l.recent[max(0, len(l.recent)-constants.StatusEventCount):]
	if l.writer != nil {
		l.writer.Tell(e)
	}
}

// lines returns the latest events as text, one line for each.
func (l *eventLog) lines() []string {
	var lines []string
	for _, e := range l.recent {
		lines = append(lines, e.String())
	}
	return lines
}

// historyWriter is the actor that appends events to the history. It is an actor of its own
// so that a slow disk does not block any other actor, such as the monitor.
type historyWriter struct{ history History }

// Receive implements actor.Handler.
func (w historyWriter) Receive(_ context.Context, msg any) {
	e, ok := msg.(history.Event)
	if !ok {
		return
	}
	if err := w.history.Append(e); err != nil {
		slog.Warn("membership event not stored", logkey.Err, err)
	}
}

// recordChange logs a change of a controller's state and adds it to the events.
func (m *monitorActor) recordChange(now time.Time, change detector.StateChange) {
	e := history.Event{
		At:          now,
		Observer:    m.name,
		Controller:  change.Controller,
		Incarnation: change.Incarnation,
		From:        string(change.From),
		To:          string(change.To),
		Evidence:    evidenceNames(change.Evidence),
		Accusers:    change.Accusers,
	}
	level := slog.LevelInfo
	if change.To == detector.Suspect || change.To == detector.Failed {
		level = slog.LevelWarn
	}
	slog.Log(context.Background(), level, "controller's state changed",
		logkey.Controller, e.Controller, "from", e.From, "to", e.To, "evidence", e.Evidence, "accusers", e.Accusers)
	m.events.add(e)
}

func evidenceNames(evidence []detector.Evidence) []string {
	var names []string
	for _, e := range evidence {
		names = append(names, string(e))
	}
	return names
}

// DroppedHeartbeats counts heartbeats of other controllers that were dropped, by reason.
type DroppedHeartbeats struct {
	UnknownController uint64 `json:"unknown_controller"`
	Malformed         uint64 `json:"malformed"`
}

func (c *DroppedHeartbeats) add(err error) {
	switch {
	case errors.Is(err, detector.ErrUnknownController):
		c.UnknownController++
	case errors.Is(err, detector.ErrMalformedMessage):
		c.Malformed++
	}
}
