package apiserver

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"ravenport/records"
	"ravenport/settings"
	"ravenport/wire"
)

// roundingTolerance is how far an amount of fractional CPUs or GPUs may exceed a limit
// because of rounding.
const roundingTolerance = 1e-9

// rejectMalformed is the rejection of a submission that could not be parsed.
func rejectMalformed(err error) *rejection {
	rejected := permanent(http.StatusBadRequest, err.Error())
	var fieldError *wire.FieldError
	if errors.As(err, &fieldError) {
		rejected.problem.Field = fieldError.Field
	}
	return &rejected
}

// validate returns the rejection of a submission that cannot be accepted; nil if it
// can be.
func (s *Server) validate(submission *wire.Submission) *rejection {
	job := records.Job{Spec: *submission, AcceptedMS: time.Now().UnixMilli()}
	if !s.sizeLimits.FitsUntilEnd(&job, s.settings.Deployment.Zones) {
		return &rejectTooLong
	}
	if len(s.machineTypes) == 0 {
		return &rejectNotReady
	}
	if reason := s.infeasible(submission); reason != "" {
		rejected := permanent(http.StatusUnprocessableEntity, reason)
		return &rejected
	}
	return nil
}

// infeasible returns the reason why a job can never run; empty if the job can run. The
// texts are part of the protocol with users.
func (s *Server) infeasible(submission *wire.Submission) string {
	team := s.settings.Team(submission.Team)
	if team == nil {
		return "unknown team"
	}
	if exceedsQuota(submission, team) {
		return "more than the team's limit"
	}
	if submission.Zone != "" && !slices.Contains(s.settings.Deployment.Zones, submission.Zone) {
		return "unknown zone"
	}
	spreads := submission.Spread && submission.Tasks > 1
	if submission.OneZone && spreads {
		return "one_zone and scatter exclude each other"
	}
	zones := s.feasibleZones(submission)
	if len(zones) == 0 {
		return "a task fits no allowed machine type"
	}
	if submission.AllOrNothing() && spreads && len(zones) == 1 {
		// At most half of the tasks may run in one zone, and all run at the same time.
		// The tasks of a job array may run one after the other.
		return "all tasks would be in one zone, and scatter forbids it"
	}
	return ""
}

// exceedsQuota reports whether the tasks that must run at the same time need more than the
// team's quota limit. These are all tasks of a gang, and one task of any other job.
func exceedsQuota(submission *wire.Submission, team *settings.Team) bool {
	tasks := 1.0
	if submission.AllOrNothing() {
		tasks = float64(submission.Tasks)
	}
	return exceeds(submission.CPUs*tasks, team.LimitCPUs) || exceeds(submission.GPUs*tasks, team.LimitGPUs)
}

// exceeds reports whether amount exceeds limit; a limit of 0 means no limit.
func exceeds(amount, limit float64) bool {
	return limit > 0 && amount > limit+roundingTolerance
}

// feasibleZones returns the zones in which the cloud offers a machine type that fits a task.
func (s *Server) feasibleZones(submission *wire.Submission) []string {
	var feasible []string
	for _, zone := range s.settings.Deployment.Zones {
		if (submission.Zone == "" || submission.Zone == zone) && s.machineTypes.OffersFor(submission, zone) {
			feasible = append(feasible, zone)
		}
	}
	return feasible
}
