package exposer

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
)

// unitSuffixes maps units of OpenTelemetry to the suffixes that Prometheus metric names get for them.
var unitSuffixes = map[string]string{"s": "_seconds", "By": "_bytes"}

// family is a Prometheus metric family: a metric with its samples.
type family struct {
	name, help, metricType string
	samples                []sample
}

// sample is one line of a metric family: a suffix of the metric name, the labels and the value.
type sample struct{ suffix, labels, value string }

// formatPage formats all metrics, sorted by name, including target_info with the attributes of this process.
func formatPage(m *metricdata.ResourceMetrics) []byte {
	var families []family
	for _, scope := range m.ScopeMetrics {
		for i := range scope.Metrics {
			if f, ok := newFamily(&scope.Metrics[i]); ok {
				families = append(families, f)
			}
		}
	}
	target := family{name: "target_info", help: "Target metadata", metricType: "gauge"}
	target.addSample("", formatLabels(m.Resource.Set()), "1")
	families = append(families, target)
	slices.SortFunc(families, func(a, b family) int { return cmp.Compare(a.name, b.name) })
	var page []byte
	for i := range families {
		page = families[i].appendTo(page)
	}
	return page
}

// newFamily converts one metric. It returns false for data types that this project does not use.
func newFamily(m *metricdata.Metrics) (family, bool) {
	f := family{name: sanitize(m.Name), help: m.Description}
	if suffix := unitSuffixes[m.Unit]; !strings.HasSuffix(f.name, suffix) {
		f.name += suffix
	}
	switch data := m.Data.(type) {
	case metricdata.Sum[int64]:
		f.setNumberType(data.IsMonotonic, m.Unit)
		addDataPoints(&f, data.DataPoints)
	case metricdata.Sum[float64]:
		f.setNumberType(data.IsMonotonic, m.Unit)
		addDataPoints(&f, data.DataPoints)
	case metricdata.Gauge[int64]:
		f.setNumberType(false, m.Unit)
		addDataPoints(&f, data.DataPoints)
	case metricdata.Gauge[float64]:
		f.setNumberType(false, m.Unit)
		addDataPoints(&f, data.DataPoints)
	case metricdata.Histogram[int64]:
		addHistograms(&f, data.DataPoints)
	case metricdata.Histogram[float64]:
		addHistograms(&f, data.DataPoints)
	default:
		return family{}, false
	}
	return f, true
}

// setNumberType sets the type and the name suffix of a counter or gauge: _total for counters, _ratio for gauges with unit 1.
func (f *family) setNumberType(counter bool, unit string) {
	switch {
	case counter:
		f.metricType = "counter"
		f.name += "_total"
	case unit == "1":
		f.metricType = "gauge"
		f.name += "_ratio"
	default:
		f.metricType = "gauge"
	}
}

func addDataPoints[N int64 | float64](f *family, points []metricdata.DataPoint[N]) {
	for i := range points {
		f.addSample("", formatLabels(&points[i].Attributes), formatFloat(float64(points[i].Value)))
	}
	slices.SortFunc(f.samples, func(a, b sample) int { return cmp.Compare(a.labels, b.labels) })
}

func addHistograms[N int64 | float64](f *family, points []metricdata.HistogramDataPoint[N]) {
	f.metricType = "histogram"
	for i := range points {
		addHistogram(f, &points[i])
	}
}

func addHistogram[N int64 | float64](f *family, p *metricdata.HistogramDataPoint[N]) {
	labels := formatLabels(&p.Attributes)
	bucketLabels := func(le string) string {
		if labels == "" {
			return `le="` + le + `"`
		}
		return labels + `,le="` + le + `"`
	}
	cumulative := uint64(0)
	for i, count := range p.BucketCounts {
		cumulative += count
		le := math.Inf(1)
		if i < len(p.Bounds) {
			le = p.Bounds[i]
		}
		f.addSample("_bucket", bucketLabels(formatFloat(le)), strconv.FormatUint(cumulative, 10))
	}
	f.addSample("_sum", labels, formatFloat(float64(p.Sum)))
	f.addSample("_count", labels, strconv.FormatUint(p.Count, 10))
}

func (f *family) addSample(suffix, labels, value string) {
	f.samples = append(f.samples, sample{suffix, labels, value})
}

// appendTo appends the HELP and TYPE lines and the samples of the metric to the page.
func (f *family) appendTo(page []byte) []byte {
	page = append(page, "# HELP "+f.name+" "+helpEscaper.Replace(f.help)+"\n# TYPE "+f.name+" "+f.metricType+"\n"...)
	for _, s := range f.samples {
		page = append(page, f.name+s.suffix...)
		if s.labels != "" {
			page = append(page, "{"+s.labels+"}"...)
		}
		page = append(page, " "+s.value+"\n"...)
	}
	return page
}

var (
	helpEscaper       = strings.NewReplacer("\\", `\\`, "\n", `\n`)
	labelValueEscaper = strings.NewReplacer("\\", `\\`, "\n", `\n`, `"`, `\"`)
)

// formatLabels formats attributes as labels, sorted by name as they are in the set.
func formatLabels(set *attribute.Set) string {
	var b strings.Builder
	for iterator := set.Iter(); iterator.Next(); {
		kv := iterator.Attribute()
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(sanitize(string(kv.Key)) + `="` + labelValueEscaper.Replace(kv.Value.String()) + `"`)
	}
	return b.String()
}

// sanitize replaces each character that a metric or label name may not contain with an underscore.
func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}

func formatFloat(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}
