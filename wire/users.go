// Package wire holds the JSON formats of every interface that ravenport
// speaks: users, workers, cloud and state service. Clients may import it.
//
// The Go names are the field's usual terms; the protocol's own words stand in
// the JSON tags and constants of this package and nowhere else.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Kinds of job.
const (
	KindArray   = "sweep"
	KindService = "standing"
	KindGang    = "ensemble"
)

// States of a job as told to users.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"
)

// Priorities of jobs, highest first.
const (
	PriorityProduction = "prod"
	PriorityHigh       = "urgent"
	PriorityNormal     = "standard"
	PriorityLow        = "best_effort"
)

// PriorityLevel orders the priorities: a larger number may preempt a smaller
// one. It is 0 for an unknown name.
func PriorityLevel(p string) int {
	switch p {
	case PriorityProduction:
		return 4
	case PriorityHigh:
		return 3
	case PriorityNormal:
		return 2
	case PriorityLow:
		return 1
	}
	return 0
}

// Paths that users and health checks call.
const (
	PathJobs   = "/v2/runs"
	PathHealth = "/healthz"
	// CancelSuffix follows a job's path in a cancellation.
	CancelSuffix = "abort"
	jobIDPrefix  = "run-"
)

// Limits on what a submission may hold.
const (
	// MaxTasks is the protocol's limit on a job's tasks.
	MaxTasks = 100000
	// maxNameBytes bounds ids and names so that a job's record stays small (bytes).
	maxNameBytes = 128
	// maxAllowedTypes bounds the list of allowed machine types (entries).
	maxAllowedTypes = 32
	// maxAmount bounds amounts and durations, far above any real machine.
	maxAmount = 1e9
)

// Submission is the body of POST /v2/runs: a job as its user describes it.
type Submission struct {
	ID                  string   `json:"uid"`
	Class               string   `json:"lane"`
	Team                string   `json:"crew"`
	Kind                string   `json:"shape"`
	Priority            string   `json:"rank"`
	Tasks               int      `json:"pieces"`
	CPUs                float64  `json:"cpus"`
	GPUs                float64  `json:"cards"`
	MemoryGB            float64  `json:"mem_gb"`
	Image               string   `json:"kit"`
	ImageGB             float64  `json:"pull_gb"`
	Types               []string `json:"builds,omitempty"`
	Zone                string   `json:"yard,omitempty"`
	OneZone             bool     `json:"one_zone,omitempty"`
	Spread              bool     `json:"scatter,omitempty"`
	Spot                bool     `json:"loaners,omitempty"`
	EstimateS           float64  `json:"guess_s"`
	CheckpointIntervalS float64  `json:"mark_every_s"`
	CheckpointSaveS     float64  `json:"stow_s"`
	DeadlineS           *float64 `json:"due_s,omitempty"`
}

// IsService says whether the job's tasks run until it is cancelled.
func (s *Submission) IsService() bool { return s.Kind == KindService }

// IsGang says whether the job's tasks run at the same time or not at all.
func (s *Submission) IsGang() bool { return s.Kind == KindGang }

// AllOrNothing says whether the job's tasks are admitted together: all of them have to
// fit their team's limit.
func (s *Submission) AllOrNothing() bool { return s.IsService() || s.IsGang() }

// rawSubmission tells a missing field from a zero one.
type rawSubmission struct {
	ID                  *string   `json:"uid"`
	Class               *string   `json:"lane"`
	Team                *string   `json:"crew"`
	Kind                *string   `json:"shape"`
	Priority            *string   `json:"rank"`
	Tasks               *int      `json:"pieces"`
	CPUs                *float64  `json:"cpus"`
	GPUs                *float64  `json:"cards"`
	MemoryGB            *float64  `json:"mem_gb"`
	Image               *string   `json:"kit"`
	ImageGB             *float64  `json:"pull_gb"`
	Types               *[]string `json:"builds"`
	Zone                *string   `json:"yard"`
	OneZone             *bool     `json:"one_zone"`
	Spread              *bool     `json:"scatter"`
	Spot                *bool     `json:"loaners"`
	EstimateS           *float64  `json:"guess_s"`
	CheckpointIntervalS *float64  `json:"mark_every_s"`
	CheckpointSaveS     *float64  `json:"stow_s"`
	DeadlineS           *float64  `json:"due_s"`
}

// FieldError names the field that made a message invalid.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// ParseSubmission reads and checks a submission. Even when it fails, it
// returns the job id if one could be read, so that a repeat of an accepted
// job can be recognised before it is refused.
func ParseSubmission(body []byte) (s Submission, id string, err error) {
	var raw rawSubmission
	if err := unmarshalObject(body, &raw); err != nil {
		return s, readJobID(body), err
	}
	if raw.ID != nil && ValidJobID(*raw.ID) {
		id = *raw.ID
	}
	c := fieldChecker{}
	s = Submission{
		ID:                  c.id("uid", raw.ID),
		Class:               c.name("lane", raw.Class),
		Team:                c.name("crew", raw.Team),
		Kind:                c.oneOf("shape", raw.Kind, KindArray, KindService, KindGang),
		Priority:            c.oneOf("rank", raw.Priority, PriorityProduction, PriorityHigh, PriorityNormal, PriorityLow),
		Tasks:               c.count("pieces", raw.Tasks, 1, MaxTasks),
		CPUs:                c.amount("cpus", raw.CPUs),
		GPUs:                c.amount("cards", raw.GPUs),
		MemoryGB:            c.amount("mem_gb", raw.MemoryGB),
		Image:               c.name("kit", raw.Image),
		ImageGB:             c.amount("pull_gb", raw.ImageGB),
		OneZone:             c.flag("one_zone", raw.OneZone),
		Spread:              c.flag("scatter", raw.Spread),
		Spot:                c.flag("loaners", raw.Spot),
		EstimateS:           c.amount("guess_s", raw.EstimateS),
		CheckpointIntervalS: c.amount("mark_every_s", raw.CheckpointIntervalS),
		CheckpointSaveS:     c.amount("stow_s", raw.CheckpointSaveS),
	}
	if raw.Types != nil {
		s.Types = *raw.Types
		if len(s.Types) == 0 || len(s.Types) > maxAllowedTypes {
			c.fail("builds", fmt.Sprintf("must name 1 to %d machine types, or be null", maxAllowedTypes))
		}
		for i := range s.Types {
			c.name("builds", &s.Types[i])
		}
	}
	if raw.Zone != nil {
		s.Zone = c.name("yard", raw.Zone)
	}
	if raw.DeadlineS != nil {
		d := c.amount("due_s", raw.DeadlineS)
		s.DeadlineS = &d
	}
	return s, id, c.err
}

// ValidJobID says whether id can be the id of a job.
func ValidJobID(id string) bool {
	if !strings.HasPrefix(id, jobIDPrefix) || len(id) == len(jobIDPrefix) || len(id) > maxNameBytes {
		return false
	}
	for _, r := range id {
		if !(r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '_') {
			return false
		}
	}
	return true
}

func readJobID(body []byte) string {
	var v struct {
		ID any `json:"uid"`
	}
	if json.Unmarshal(body, &v) != nil {
		return ""
	}
	if id, ok := v.ID.(string); ok && ValidJobID(id) {
		return id
	}
	return ""
}

// isObject says whether a message begins like a JSON object; null would pass for
// one of which nothing is told.
func isObject(body []byte) bool {
	t := bytes.TrimLeft(body, " \t\r\n")
	return len(t) > 0 && t[0] == '{'
}

// unmarshalObject is for messages of users, who are told which field is at fault,
// in the words of encoding/json.
func unmarshalObject(body []byte, v any) error {
	if !isObject(body) {
		return &FieldError{"body", "is not a JSON object"}
	}
	if err := json.Unmarshal(body, v); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return &FieldError{te.Field, "has the wrong type"}
		}
		return &FieldError{"body", "is not valid JSON"}
	}
	return nil
}

// fieldChecker collects the first problem among a message's fields.
type fieldChecker struct{ err error }

func (c *fieldChecker) fail(field, problem string) {
	if c.err == nil {
		c.err = &FieldError{field, problem}
	}
}

func (c *fieldChecker) id(field string, v *string) string {
	if v == nil {
		c.fail(field, "is missing")
		return ""
	}
	if !ValidJobID(*v) {
		c.fail(field, "is not a job id")
	}
	return *v
}

func (c *fieldChecker) name(field string, v *string) string {
	switch {
	case v == nil:
		c.fail(field, "is missing")
		return ""
	case *v == "" || len(*v) > maxNameBytes:
		c.fail(field, fmt.Sprintf("must have 1 to %d bytes", maxNameBytes))
	}
	return *v
}

func (c *fieldChecker) oneOf(field string, v *string, allowed ...string) string {
	if v == nil {
		c.fail(field, "is missing")
		return ""
	}
	for _, a := range allowed {
		if *v == a {
			return a
		}
	}
	c.fail(field, "must be one of "+strings.Join(allowed, ", "))
	return ""
}

func (c *fieldChecker) count(field string, v *int, lo, hi int) int {
	if v == nil {
		c.fail(field, "is missing")
		return 0
	}
	if *v < lo || *v > hi {
		c.fail(field, fmt.Sprintf("must be %d to %d", lo, hi))
	}
	return *v
}

func (c *fieldChecker) amount(field string, v *float64) float64 {
	if v == nil {
		c.fail(field, "is missing")
		return 0
	}
	if math.IsNaN(*v) || *v < 0 || *v > maxAmount {
		c.fail(field, "is out of range")
	}
	return *v
}

func (c *fieldChecker) flag(field string, v *bool) bool {
	if v == nil {
		c.fail(field, "is missing")
		return false
	}
	return *v
}

// JobReply answers a submission or a cancellation.
type JobReply struct {
	ID     string `json:"uid"`
	Status string `json:"status"`
}

// JobStatus answers a poll.
type JobStatus struct {
	ID      string `json:"uid"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Problem is the body of a refusal.
type Problem struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}
