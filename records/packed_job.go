package records

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"ravenport/wire"
)

// A packed record is a JSON array, which the version before cannot take for a job and
// leaves alone. It has three elements:
//
//   - the job without its assignments,
//   - the assignments, run-length encoded as a string of runs,
//   - the names of the shards in them.
//
// If the array becomes shorter by that, it is compressed instead: an array of one
// string, the base64 encoding of the deflated array of three.
//
// A run stands for consecutive tasks and is written as a code, in letters, and a number
// of tasks, in base 36 with small letters. The code is a number in base 26, the lowest
// digit first, and tells what assignment the tasks are in.

// Codes of a run. Those of open assignments begin at runOpen: openCodesPerShard for each
// shard, to whose first one the flags are added.
const (
	runUnassigned = 0
	runClosed     = 1
	runOpen       = 2

	openCodesPerShard   = 4
	openFlagKeepWaiting = 1
	openFlagGuaranteed  = 2
)

// codeDigits are the digits of a run's code; none is a digit in base 36.
const codeDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"

// taskCountBase is the base of a run's number of tasks.
const taskCountBase = 36

// packedElements is the number of elements of a packed record that is not compressed.
const packedElements = 3

// maxUnpackedSize bounds a packed record before it was compressed (bytes): a job of 100,000
// tasks, each in an assignment of its own, takes less than a tenth of it, while a damaged
// value of 16 KiB could stand for 16 MiB.
const maxUnpackedSize = 4 << 20

var errMalformedPackedJob = errors.New("records: not a packed job record")

// isPackedJob says whether a job's stored record is packed, not a plain JSON object.
func isPackedJob(data []byte) bool { return len(data) > 0 && data[0] == '[' }

// packJob writes the packed record of a job.
func packJob(job *Job) json.RawMessage {
	withoutAssignments := *job
	withoutAssignments.Assignments = nil
	runs, shards := encodeRuns(job.Assignments)
	packed := Encode([]any{withoutAssignments, runs, shards})
	compressed := Encode([]string{base64.StdEncoding.EncodeToString(deflate(packed))})
	if len(compressed) < len(packed) {
		return compressed
	}
	return packed
}

// unpackJob reads what packJob wrote.
func unpackJob(data []byte, job *Job) error {
	var elements []json.RawMessage
	if err := wire.Decode(data, &elements); err != nil {
		return err
	}
	if len(elements) == 1 {
		packed, err := decompress(elements[0])
		if err != nil {
			return err
		}
		if err := wire.Decode(packed, &elements); err != nil {
			return err
		}
	}
	if len(elements) != packedElements {
		return errMalformedPackedJob
	}
	var runs string
	var shards []string
	err := errors.Join(
		wire.Decode(elements[0], job),
		wire.Decode(elements[1], &runs),
		wire.Decode(elements[2], &shards),
	)
	if err != nil {
		return err
	}
	return decodeRuns(job, runs, shards)
}

// encodeRuns writes assignments as runs, and the names of their shards in the order of
// the runs' codes.
func encodeRuns(assignments []Assignment) (runs string, shards []string) {
	var encoded []byte
	shards = []string{}
	shardIndex := map[string]int{}
	next := 0 // the first task that is in no run yet
	for _, assignment := range assignments {
		encoded = appendRun(encoded, runUnassigned, assignment.From-next)
		next = assignment.To
		if assignment.Closed {
			encoded = appendRun(encoded, runClosed, assignment.Tasks())
			continue
		}
		index, ok := shardIndex[assignment.Shard]
		if !ok {
			index = len(shards)
			shardIndex[assignment.Shard] = index
			shards = append(shards, assignment.Shard)
		}
		encoded = appendRun(encoded, openRunCode(assignment, index), assignment.Tasks())
	}
	return string(encoded), shards
}

// openRunCode is the code of an open assignment in the shard with an index.
func openRunCode(assignment Assignment, shardIndex int) int {
	code := runOpen + shardIndex*openCodesPerShard
	if assignment.KeepWaiting {
		code += openFlagKeepWaiting
	}
	if assignment.Guaranteed {
		code += openFlagGuaranteed
	}
	return code
}

// appendRun writes a run of so many tasks; nothing if there are none.
func appendRun(runs []byte, code, tasks int) []byte {
	if tasks <= 0 {
		return runs
	}
	for {
		runs = append(runs, codeDigits[code%len(codeDigits)])
		code /= len(codeDigits)
		if code == 0 {
			break
		}
	}
	return strconv.AppendInt(runs, int64(tasks), taskCountBase)
}

// decodeRuns appends the assignments of runs to the job.
func decodeRuns(job *Job, runs string, shards []string) error {
	next := 0 // the first task after the runs that were read
	codeCount := runOpen + len(shards)*openCodesPerShard
	for len(runs) > 0 {
		code, tasks, rest, err := readRun(runs, codeCount)
		if err != nil {
			return err
		}
		runs = rest
		if tasks > job.Spec.Tasks-next {
			return errMalformedPackedJob
		}
		assignment := Assignment{From: next, To: next + tasks}
		next = assignment.To
		switch code {
		case runUnassigned:
			continue
		case runClosed:
			assignment.Closed = true
		default:
			openCode := code - runOpen
			flags := openCode % openCodesPerShard
			assignment.Shard = shards[openCode/openCodesPerShard]
			assignment.KeepWaiting = flags&openFlagKeepWaiting != 0
			assignment.Guaranteed = flags&openFlagGuaranteed != 0
		}
		job.Assignments = append(job.Assignments, assignment)
	}
	return nil
}

// readRun reads the first run, whose code is below codes, and returns the runs after it.
func readRun(runs string, codeCount int) (code, tasks int, rest string, err error) {
	code, runs, err = readCode(runs, codeCount)
	if err != nil {
		return 0, 0, "", err
	}
	end := strings.IndexAny(runs, codeDigits)
	if end < 0 {
		end = len(runs)
	}
	n, err := strconv.ParseInt(runs[:end], taskCountBase, 32)
	if err != nil || n <= 0 {
		return 0, 0, "", errMalformedPackedJob
	}
	return code, int(n), runs[end:], nil
}

// readCode reads the code that a run begins with, and returns what follows it. A code of
// more digits than the largest one needs is refused before it can overflow.
func readCode(runs string, codeCount int) (code int, rest string, err error) {
	digits := 0
	for scale := 1; digits < len(runs); scale *= len(codeDigits) {
		digit := strings.IndexByte(codeDigits, runs[digits])
		if digit < 0 {
			break
		}
		if scale >= codeCount {
			return 0, "", errMalformedPackedJob
		}
		code += scale * digit
		digits++
	}
	if digits == 0 || code >= codeCount {
		return 0, "", errMalformedPackedJob
	}
	return code, runs[digits:], nil
}

// deflate compresses data.
func deflate(data []byte) []byte {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err == nil {
		_, err = writer.Write(data)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		panic(fmt.Sprintf("records: packing: %v", err)) // into memory: cannot happen
	}
	return compressed.Bytes()
}

// decompress reads the only element of a compressed record.
func decompress(element json.RawMessage) ([]byte, error) {
	var text string
	if err := wire.Decode(element, &text); err != nil {
		return nil, err
	}
	compressed, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxUnpackedSize+1)
	unpacked, err := io.ReadAll(reader)
	if err == nil && len(unpacked) > maxUnpackedSize {
		return nil, errMalformedPackedJob
	}
	return unpacked, err
}
