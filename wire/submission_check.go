package wire

import (
	"encoding/json"
	"errors"
	"fmt"
)

// rawSubmission is a decoded submission before validation. A field that is missing or
// null is nil.
type rawSubmission struct {
	ID                  *string   `json:"uid"`
	Class               *string   `json:"lane"`
	Team                *string   `json:"crew"`
	Kind                *JobKind  `json:"shape"`
	Priority            *Priority `json:"rank"`
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

// ParseSubmission decodes and validates a submission. Its error is a *FieldError.
// ParseSubmission also returns the job's id after an error if it could read a valid id,
// so that the caller can recognise a retry of an accepted job before refusing it.
func ParseSubmission(body []byte) (s Submission, id string, err error) {
	var raw rawSubmission
	if err := unmarshalObject(body, &raw); err != nil {
		return s, readJobID(body), err
	}
	if raw.ID != nil && ValidJobID(*raw.ID) {
		id = *raw.ID
	}
	s, err = raw.check()
	return s, id, err
}

// check validates all fields and returns the error of the first invalid one.
func (raw *rawSubmission) check() (Submission, error) {
	var checker fieldChecker
	submission := Submission{
		ID:                  checker.jobID("uid", raw.ID),
		Class:               checker.name("lane", raw.Class),
		Team:                checker.name("crew", raw.Team),
		Kind:                oneOf(&checker, "shape", raw.Kind, KindArray, KindService, KindGang),
		Priority:            oneOf(&checker, "rank", raw.Priority, PriorityProduction, PriorityHigh, PriorityNormal, PriorityLow),
		Tasks:               checker.count("pieces", raw.Tasks, 1, MaxTasks),
		CPUs:                checker.amount("cpus", raw.CPUs),
		GPUs:                checker.amount("cards", raw.GPUs),
		MemoryGB:            checker.amount("mem_gb", raw.MemoryGB),
		Image:               checker.name("kit", raw.Image),
		ImageGB:             checker.amount("pull_gb", raw.ImageGB),
		OneZone:             checker.flag("one_zone", raw.OneZone),
		Spread:              checker.flag("scatter", raw.Spread),
		Spot:                checker.flag("loaners", raw.Spot),
		EstimateS:           checker.amount("guess_s", raw.EstimateS),
		CheckpointIntervalS: checker.amount("mark_every_s", raw.CheckpointIntervalS),
		CheckpointSaveS:     checker.amount("stow_s", raw.CheckpointSaveS),
	}
	// The other fields are optional.
	if raw.Types != nil {
		submission.Types = *raw.Types
		checker.machineTypes("builds", submission.Types)
	}
	if raw.Zone != nil {
		submission.Zone = checker.name("yard", raw.Zone)
	}
	if raw.DeadlineS != nil {
		deadline := checker.amount("due_s", raw.DeadlineS)
		submission.DeadlineS = &deadline
	}
	return submission, checker.err
}

// readJobID reads only the job's id from a submission that is otherwise invalid. It
// returns "" if there is no valid id.
func readJobID(body []byte) string {
	var submission struct {
		ID any `json:"uid"`
	}
	if json.Unmarshal(body, &submission) != nil {
		return ""
	}
	if id, ok := submission.ID.(string); ok && ValidJobID(id) {
		return id
	}
	return ""
}

// unmarshalObject decodes a user's message. Its error names the invalid field as
// encoding/json does.
func unmarshalObject(body []byte, v any) error {
	if !isObject(body) {
		return &FieldError{"body", "is not a JSON object"}
	}
	err := json.Unmarshal(body, v)
	if err == nil {
		return nil
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &FieldError{typeError.Field, "has the wrong type"}
	}
	return &FieldError{"body", "is not valid JSON"}
}

// machineTypes checks the list of allowed machine types.
func (c *fieldChecker) machineTypes(field string, types []string) {
	if len(types) == 0 || len(types) > maxAllowedTypes {
		c.fail(field, fmt.Sprintf("must name 1 to %d machine types, or be null", maxAllowedTypes))
	}
	for i := range types {
		c.name(field, &types[i])
	}
}
