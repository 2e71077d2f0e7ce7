package apiserver

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/records"
	"ravenport/wire"
)

// pendingPoll is a request for a job's state that has not been answered yet.
type pendingPoll struct {
	request   Request
	jobID     string
	arrivedAt time.Time
	revision  uint64 // that the watch feed must reach before the response; 0 before the read
	// ifNotFound is the response if the job does not exist; nil stands for
	// rejectNoSuchJob.
	ifNotFound *rejection
}

// poll responds at once if the job has ended, and otherwise after a read of the store.
func (s *Server) poll(ctx context.Context, p *pendingPoll) {
	if job, ok := s.jobs[p.jobID]; ok && job.endState != "" {
		s.respondState(p, job)
		return
	}
	if !s.admitsPoll(p.jobID) {
		rejectOverloaded.respond(p.request)
		return
	}
	if time.Now().Before(s.storeDownUntil) {
		rejectStoreUnavailable.respond(p.request)
		return
	}
	s.pendingRequests++
	p.arrivedAt = time.Now()
	s.pollsAwaitingRead = append(s.pollsAwaitingRead, p)
	s.readRevision(ctx)
}

// admitsPoll reports whether a poll may wait for the store. Half of
// constants.MaxPendingRequests is open to all jobs. The other half is open to one group of
// jobs at a time; the groups take turns of constants.PollGroupTurn. No job's polls are
// therefore starved, whatever order the polls arrive in.
func (s *Server) admitsPoll(jobID string) bool {
	if s.pendingRequests < constants.MaxPendingRequests/2 {
		return true
	}
	hash := fnv.New32a()
	io.WriteString(hash, jobID)
	group := int64(hash.Sum32() % constants.PollGroups)
	turn := time.Now().Unix() / int64(constants.PollGroupTurn.Seconds()) % constants.PollGroups
	return s.pendingRequests < constants.MaxPendingRequests && group == turn
}

// readRevision reads the current revision for all polls that wait for a read. It reads at
// once or, if the last read is more recent than readInterval, when that time has passed.
func (s *Server) readRevision(ctx context.Context) {
	if s.readPending || len(s.pollsAwaitingRead) == 0 {
		return
	}
	s.readPending = true
	if wait := time.Until(s.lastReadAt.Add(s.readInterval)); wait > 0 {
		// Polls that arrive until then share one read.
		time.AfterFunc(wait, func() { s.self.Tell(readDue{}) })
		return
	}
	s.lastReadAt = time.Now()
	polls := s.pollsAwaitingRead
	s.pollsAwaitingRead = nil
	go func() {
		ctx, cancel := context.WithTimeout(ctx, constants.UserRequestTimeout)
		defer cancel()
		revision, err := s.store.Revision(ctx)
		s.self.Tell(revisionRead{polls: polls, revision: revision, err: err})
	}()
}

func (s *Server) handleRevisionRead(ctx context.Context, result revisionRead) {
	s.readPending = false
	rateLimited := errors.Is(result.err, kvstore.ErrRateLimited)
	if result.err != nil && !rateLimited {
		s.storeDownUntil = time.Now().Add(constants.StoreFailureBackoff)
	}
	for _, p := range result.polls {
		switch {
		case rateLimited && time.Since(p.arrivedAt) < constants.UserRequestTimeout/2:
			// The poll waits for the next read, with the polls that have arrived since.
			s.pollsAwaitingRead = append(s.pollsAwaitingRead, p)
		case result.err != nil:
			s.pendingRequests--
			rejectStoreUnavailable.respond(p.request)
		case result.revision <= s.appliedRevision:
			s.answerFromFeed(p)
		default:
			p.revision = result.revision
			s.pollsAwaitingFeed = append(s.pollsAwaitingFeed, p)
		}
	}
	s.readRevision(ctx)
}

// answerCaughtUpPolls answers the polls whose revision the watch feed has reached.
func (s *Server) answerCaughtUpPolls() {
	waiting := s.pollsAwaitingFeed[:0]
	for _, p := range s.pollsAwaitingFeed {
		if p.revision <= s.appliedRevision {
			s.answerFromFeed(p)
		} else {
			waiting = append(waiting, p)
		}
	}
	clear(s.pollsAwaitingFeed[len(waiting):])
	s.pollsAwaitingFeed = waiting
}

// answerFromFeed answers a poll from the state received from the watch feed. The feed must
// have reached the poll's revision.
func (s *Server) answerFromFeed(p *pendingPoll) {
	s.pendingRequests--
	s.stats.poll.observe(time.Since(p.arrivedAt))
	job, known := s.jobs[p.jobID]
	switch {
	case s.damagedJobs[p.jobID]:
		// The job exists, but its record cannot be read, so its state is unknown.
		rejectStoreUnavailable.respond(p.request)
	case !known:
		p.respondNotFound()
	default:
		s.respondState(p, job)
	}
}

func (p *pendingPoll) respondNotFound() {
	if p.ifNotFound != nil {
		p.ifNotFound.respond(p.request)
		return
	}
	rejectNoSuchJob.respond(p.request)
}

// respondState sends a job's state with the shards' latest counts of its tasks.
func (s *Server) respondState(p *pendingPoll, job jobSummary) {
	state := job.state(p.jobID)
	if job.endState == "" {
		var tasks records.TaskCounts
		for _, counts := range s.countsByShard {
			tasks = tasks.Plus(counts[p.jobID])
		}
		state.Done = min(state.Done+tasks.Done(), job.taskCount)
		state.Running = min(tasks.Running(), job.taskCount-state.Done)
		if state.Running > 0 {
			state.Status = wire.JobRunning
		}
	}
	respondJSON(p.request, http.StatusOK, state)
}

// readOverduePolls reads the jobs' records from the store for the polls that wait for the
// watch feed and arrived at least constants.FeedCatchUpTimeout ago.
func (s *Server) readOverduePolls(ctx context.Context, now time.Time) {
	waiting := s.pollsAwaitingFeed[:0]
	for _, p := range s.pollsAwaitingFeed {
		if now.Sub(p.arrivedAt) < constants.FeedCatchUpTimeout {
			waiting = append(waiting, p)
			continue
		}
		go s.answerFromStore(ctx, p)
	}
	clear(s.pollsAwaitingFeed[len(waiting):])
	s.pollsAwaitingFeed = waiting
}

// answerFromStore answers a poll from the job's record in the store. It runs on its own
// goroutine and accesses none of the actor's state.
func (s *Server) answerFromStore(ctx context.Context, p *pendingPoll) {
	defer s.self.Tell(requestDone{})
	ctx, cancel := context.WithTimeout(ctx, constants.UserRequestTimeout)
	defer cancel()
	job, version, err := s.readJob(ctx, p.jobID)
	switch {
	case err != nil:
		rejectStoreUnavailable.respond(p.request)
	case job == nil:
		p.respondNotFound()
	default:
		s.notifyIfCancelled(job, version)
		respondJSON(p.request, http.StatusOK, summarize(job).state(p.jobID))
	}
}

// readJob reads a job's record and the version of its key; the job is nil if it does not
// exist.
func (s *Server) readJob(ctx context.Context, jobID string) (*records.Job, uint64, error) {
	key := records.KeyJob(jobID)
	keyValue, found, err := s.store.Get(ctx, key)
	if err != nil || !found {
		return nil, 0, err
	}
	record, err := records.Decode(key, keyValue.Value)
	if err != nil {
		return nil, 0, err
	}
	return record.(*records.Job), keyValue.Version, nil
}
