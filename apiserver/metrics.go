package apiserver

import (
	"bytes"
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenport/constants"
	"ravenport/httpwire"
)

// stats are the API server's figures since the process began.
type stats struct {
	accepted, refused int64
	submit, poll      latency
}

// latency is a histogram of answers' times in milliseconds.
type latency struct{ *hdrhistogram.Histogram }

func newLatency() latency {
	return latency{hdrhistogram.New(1, constants.LatencyMaxMS, constants.LatencyDigits)}
}

func (l latency) record(ms int64) {
	// The histogram refuses values beyond its range; they count as its end.
	_ = l.RecordValue(min(max(ms, 1), constants.LatencyMaxMS))
}

func newStats() stats { return stats{submit: newLatency(), poll: newLatency()} }

// metrics writes the figures in Prometheus' text format.
func (d *Server) metrics(req Request) {
	var b bytes.Buffer
	over := 0
	for _, k := range d.jobs {
		if k.endState != "" {
			over++
		}
	}
	counter := func(name, kind string, v int64) { fmt.Fprintf(&b, "# TYPE %s %s\n%s %d\n", name, kind, name, v) }
	counter("ravenport_submissions_accepted_total", "counter", d.stats.accepted)
	counter("ravenport_submissions_refused_total", "counter", d.stats.refused)
	counter("ravenport_jobs_open", "gauge", int64(len(d.jobs)-over))
	counter("ravenport_jobs_over", "gauge", int64(over))
	counter("ravenport_requests_waiting", "gauge", int64(d.pendingRequests))
	counter("ravenport_state_revision", "gauge", int64(d.appliedRevision))
	for _, h := range []struct {
		name string
		l    latency
	}{{"ravenport_submit_ms", d.stats.submit}, {"ravenport_poll_ms", d.stats.poll}} {
		fmt.Fprintf(&b, "# TYPE %s summary\n", h.name)
		for _, q := range []float64{50, 90, 99, 99.9} {
			fmt.Fprintf(&b, "%s{quantile=\"%g\"} %d\n", h.name, q/100, h.l.ValueAtQuantile(q))
		}
		fmt.Fprintf(&b, "%s_count %d\n", h.name, h.l.TotalCount())
	}
	req.Respond(&httpwire.Response{Status: 200, ContentType: "text/plain; version=0.0.4", Body: b.Bytes()})
}
