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

// unitSuffixes are the names of units that become part of a metric's name.
var unitSuffixes = map[string]string{"s": "_seconds", "By": "_bytes"}

// family is a metric with its samples.
type family struct {
	name, help, kind string
	samples          []sample
}

// sample is one line.
type sample struct{ suffix, labels, value string }

// format returns the page of all metrics, sorted by name, and the description of this process.
func format(m *metricdata.ResourceMetrics) []byte {
	var families []family
	for _, scope := range m.ScopeMetrics {
		for i := range scope.Metrics {
			if f, ok := newFamily(&scope.Metrics[i]); ok {
				families = append(families, f)
			}
		}
	}
	target := family{name: "target_info", help: "Target metadata", kind: "gauge"}
	target.add("", labels(m.Resource.Set()), "1")
	families = append(families, target)
	slices.SortFunc(families, func(a, b family) int { return cmp.Compare(a.name, b.name) })
	var page []byte
	for i := range families {
		page = families[i].append(page)
	}
	return page
}

// newFamily translates one metric; the kinds that the project does not use have no page.
func newFamily(m *metricdata.Metrics) (family, bool) {
	f := family{name: sanitize(m.Name), help: m.Description}
	if suffix := unitSuffixes[m.Unit]; !strings.HasSuffix(f.name, suffix) {
		f.name += suffix
	}
	switch data := m.Data.(type) {
	case metricdata.Sum[int64]:
		f.number(data.IsMonotonic, m.Unit)
		addPoints(&f, data.DataPoints)
	case metricdata.Sum[float64]:
		f.number(data.IsMonotonic, m.Unit)
		addPoints(&f, data.DataPoints)
	case metricdata.Gauge[int64]:
		f.number(false, m.Unit)
		addPoints(&f, data.DataPoints)
	case metricdata.Gauge[float64]:
		f.number(false, m.Unit)
		addPoints(&f, data.DataPoints)
	case metricdata.Histogram[int64]:
		addHistograms(&f, data.DataPoints)
	case metricdata.Histogram[float64]:
		addHistograms(&f, data.DataPoints)
	default:
		return family{}, false
	}
	return f, true
}

// number sets the kind and the suffix of a metric with one value: counters end in _total, gauges of the unit 1 in _ratio.
func (f *family) number(counter bool, unit string) {
	switch {
	case counter:
		f.kind = "counter"
		f.name += "_total"
	case unit == "1":
		f.kind = "gauge"
		f.name += "_ratio"
	default:
		f.kind = "gauge"
	}
}

func addPoints[N int64 | float64](f *family, points []metricdata.DataPoint[N]) {
	for i := range points {
		f.add("", labels(&points[i].Attributes), number(float64(points[i].Value)))
	}
	slices.SortFunc(f.samples, func(a, b sample) int { return cmp.Compare(a.labels, b.labels) })
}

func addHistograms[N int64 | float64](f *family, points []metricdata.HistogramDataPoint[N]) {
	f.kind = "histogram"
	for i := range points {
		addHistogram(f, &points[i])
	}
}

func addHistogram[N int64 | float64](f *family, p *metricdata.HistogramDataPoint[N]) {
	common := labels(&p.Attributes)
	bound := func(le string) string {
		if common == "" {
			return `le="` + le + `"`
		}
		return common + `,le="` + le + `"`
	}
	total := uint64(0)
	for i, count := range p.BucketCounts {
		total += count
		le := math.Inf(1)
		if i < len(p.Bounds) {
			le = p.Bounds[i]
		}
		f.add("_bucket", bound(number(le)), strconv.FormatUint(total, 10))
	}
	f.add("_sum", common, number(float64(p.Sum)))
	f.add("_count", common, strconv.FormatUint(p.Count, 10))
}

func (f *family) add(suffix, labels, value string) {
	f.samples = append(f.samples, sample{suffix, labels, value})
}

func (f *family) append(page []byte) []byte {
	page = append(page, "# HELP "+f.name+" "+helpEscaper.Replace(f.help)+"\n# TYPE "+f.name+" "+f.kind+"\n"...)
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
	helpEscaper  = strings.NewReplacer("\\", `\\`, "\n", `\n`)
	valueEscaper = strings.NewReplacer("\\", `\\`, "\n", `\n`, `"`, `\"`)
)

// labels returns the attributes in the order of their names.
func labels(set *attribute.Set) string {
	var b strings.Builder
	for iterator := set.Iter(); iterator.Next(); {
		kv := iterator.Attribute()
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(sanitize(string(kv.Key)) + `="` + valueEscaper.Replace(kv.Value.String()) + `"`)
	}
	return b.String()
}

// sanitize replaces what a name may not contain.
func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}

func number(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}
