package exposer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/modules/exposer"
)

// page is the output of the replaced Prometheus exporter for the instruments of TestPage.
const page = `# HELP bluebelldyke_direct_packets_total packets by cause
# TYPE bluebelldyke_direct_packets_total counter
bluebelldyke_direct_packets_total{availability_zone="souillac",cause="a \"b\"\\\n"} 2
bluebelldyke_direct_packets_total{availability_zone="souillac",cause="placed"} 3
# HELP bluebelldyke_direct_view_age_seconds age\nof the "view"
# TYPE bluebelldyke_direct_view_age_seconds gauge
bluebelldyke_direct_view_age_seconds{view="listing"} 1.25
# HELP bluebelldyke_imbalance_ratio most over mean
# TYPE bluebelldyke_imbalance_ratio gauge
bluebelldyke_imbalance_ratio 1.5
# HELP bluebelldyke_peer_bytes_total bytes
# TYPE bluebelldyke_peer_bytes_total counter
bluebelldyke_peer_bytes_total 1e+10
# HELP bluebelldyke_place_time_seconds time to place
# TYPE bluebelldyke_place_time_seconds histogram
bluebelldyke_place_time_seconds_bucket{kind="new",le="0.001"} 1
bluebelldyke_place_time_seconds_bucket{kind="new",le="0.01"} 2
bluebelldyke_place_time_seconds_bucket{kind="new",le="+Inf"} 3
bluebelldyke_place_time_seconds_sum{kind="new"} 2.0055
bluebelldyke_place_time_seconds_count{kind="new"} 3
# HELP target_info Target metadata
# TYPE target_info gauge
`

// TestPage guards against changes of metric names, units and labels, which operators' dashboards refer to.
func TestPage(t *testing.T) {
	g := NewWithT(t)
	provider, handler, err := exposer.New()
	g.Expect(err).NotTo(HaveOccurred())
	m := provider.Meter("bluebelldyke")
	ctx := context.Background()

	packets, err := m.Int64Counter("bluebelldyke.direct.packets", metric.WithDescription("packets by cause"))
	g.Expect(err).NotTo(HaveOccurred())
	zone := attribute.String("availability-zone", "souillac")
	packets.Add(ctx, 3, metric.WithAttributes(attribute.String("cause", "placed"), zone))
	packets.Add(ctx, 2, metric.WithAttributes(attribute.String("cause", "a \"b\"\\\n"), zone))
	age, err := m.Float64Gauge("bluebelldyke.direct.view-age", metric.WithUnit("s"), metric.WithDescription("age\nof the \"view\""))
	g.Expect(err).NotTo(HaveOccurred())
	age.Record(ctx, 1.25, metric.WithAttributes(attribute.String("view", "listing")))
	imbalance, err := m.Float64ObservableGauge("bluebelldyke.imbalance", metric.WithUnit("1"), metric.WithDescription("most over mean"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(1.5)
			return nil
		}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(imbalance).NotTo(BeNil())
	bytes, err := m.Int64Counter("bluebelldyke.peer.bytes", metric.WithUnit("By"), metric.WithDescription("bytes"))
	g.Expect(err).NotTo(HaveOccurred())
	bytes.Add(ctx, 10_000_000_000)
	place, err := m.Float64Histogram("bluebelldyke.place-time", metric.WithUnit("s"), metric.WithDescription("time to place"),
		metric.WithExplicitBucketBoundaries(0.001, 0.01))
	g.Expect(err).NotTo(HaveOccurred())
	for _, v := range []float64{0.0005, 0.005, 2} {
		place.Record(ctx, v, metric.WithAttributes(attribute.String("kind", "new")))
	}

	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	g.Expect(response.Header().Get("Content-Type")).To(HavePrefix("text/plain; version=0.0.4"))
	g.Expect(response.Body.String()).To(HavePrefix(page))
	g.Expect(response.Body.String()).To(MatchRegexp(`\ntarget_info\{.*telemetry_sdk_language="go".*\} 1\n$`))
}
