package wire

import (
	"strconv"
	"strings"
)

// jobIDPrefix is the prefix of every job id.
const jobIDPrefix = "run-"

// ValidJobID reports whether id is a valid job id.
func ValidJobID(id string) bool {
	if !strings.HasPrefix(id, jobIDPrefix) || len(id) == len(jobIDPrefix) || len(id) > maxNameBytes {
		return false
	}
	for _, r := range id {
		if !isJobIDRune(r) {
			return false
		}
	}
	return true
}

func isJobIDRune(r rune) bool {
	return r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '_'
}

// TaskName returns the name of a job's task: the job's id, a slash and the task's
// index.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName splits a task's name into the job's id and the task's index. ok is
// false unless TaskName returns this name for a valid job id and index.
func ParseTaskName(name string) (job string, index int, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, false
	}
	job = name[:slash]
	index, err := strconv.Atoi(name[slash+1:])
	if err != nil || index < 0 || index >= MaxTasks || TaskName(job, index) != name {
		return "", 0, false
	}
	return job, index, ValidJobID(job)
}
