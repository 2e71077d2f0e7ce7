package apiserver

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenport/constants"
	"ravenport/httpwire"
)

// metricsContentType is the content type of Prometheus' text format.
const metricsContentType = "text/plain; version=0.0.4"

// stats are the API server's own counts and latencies since the process started.
type stats struct {
	accepted int64 // submissions
	refused  int64 // submissions
	submit   latency
	poll     latency
}

func newStats() stats { return stats{submit: newLatency(), poll: newLatency()} }

// latency is a histogram of response times in milliseconds.
type latency struct{ *hdrhistogram.Histogram }

func newLatency() latency {
	return latency{hdrhistogram.New(1, constants.LatencyMaxMS, constants.LatencyDigits)}
}

// observe adds a response time.
func (l latency) observe(elapsed time.Duration) {
	// The histogram refuses values outside its range, so they are clamped to it.
	_ = l.RecordValue(min(max(elapsed.Milliseconds(), 1), constants.LatencyMaxMS))
}

// respondMetrics sends the metrics in Prometheus' text format.
func (s *Server) respondMetrics(request Request) {
	ended := 0
	for _, job := range s.jobs {
		if job.endState != "" {
			ended++
		}
	}
	var text bytes.Buffer
	// Operators' dashboards and alerts match these names.
	writeMetric(&text, "ravenport_submissions_accepted_total", "counter", s.stats.accepted)
	writeMetric(&text, "ravenport_submissions_refused_total", "counter", s.stats.refused)
	writeMetric(&text, "ravenport_jobs_open", "gauge", int64(len(s.jobs)-ended))
	writeMetric(&text, "ravenport_jobs_over", "gauge", int64(ended))
	writeMetric(&text, "ravenport_requests_waiting", "gauge", int64(s.pendingRequests))
	writeMetric(&text, "ravenport_state_revision", "gauge", int64(s.appliedRevision))
	writeSummary(&text, "ravenport_submit_ms", s.stats.submit)
	writeSummary(&text, "ravenport_poll_ms", s.stats.poll)
	request.Respond(&httpwire.Response{Status: http.StatusOK, ContentType: metricsContentType, Body: text.Bytes()})
}

// writeMetric writes a metric of a single value; kind is Prometheus' metric type.
func writeMetric(text *bytes.Buffer, name, kind string, value int64) {
	fmt.Fprintf(text, "# TYPE %s %s\n%s %d\n", name, kind, name, value)
}

// writeSummary writes a latency's quantiles and count.
func writeSummary(text *bytes.Buffer, name string, l latency) {
	fmt.Fprintf(text, "# TYPE %s summary\n", name)
	for _, percent := range []float64{50, 90, 99, 99.9} {
		fmt.Fprintf(text, "%s{quantile=\"%g\"} %d\n", name, percent/100, l.ValueAtQuantile(percent))
	}
	fmt.Fprintf(text, "%s_count %d\n", name, l.TotalCount())
}
