package encoder

import (
	"slices"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/evacuator"
)

const (
	// maxZones limits the availability zones in a message. Regions have a handful.
	maxZones = 32
	// maxZoneName limits the length of the name of a zone, like that of the zone of a member.
	maxZoneName = 64
	// maxServices limits the services in an announcement to about 500 bytes. Only those with a rate for the warm-up are sent.
	maxServices = 16
)

// wireZoneAnnouncement is an announcement with the evacuated zones.
type wireZoneAnnouncement struct {
	_             struct{} `cbor:",toarray"`
	Announcement  wireEraAnnouncement
	Known         bool // the sender knows the set below
	Era, Revision uint64
	Age           uint32 // ms
	Zones         []string
	Lost, Revoked []wireZoneTime
	Services      []wireService
}

type wireZoneTime struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	Time uint32 // ms
}

type wireService struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	WarmUpPerSecond float64
}

// HasOnlyEvacuations reports whether the announcement states nothing but the evacuated zones.
func (a *Announcement) HasOnlyEvacuations() bool {
	return a.Evacuations != nil && a.Delta.Revision == 0 && a.ConfigVersion == 0
}

func (a *Announcement) encodeWithEvacuations(w wireEraAnnouncement) ([]byte, error) {
	z := wireZoneAnnouncement{Announcement: w}
	if e := a.Evacuations; e != nil && len(e.Zones) <= maxZones && len(e.Lost) <= maxZones && len(e.Revoked) <= maxZones {
		z.Known, z.Era, z.Revision, z.Age, z.Zones = true, e.Era, e.Position.Revision, toMilliseconds(e.Age), e.Zones
		z.Lost, z.Revoked = zoneTimesToWire(e.Lost), zoneTimesToWire(e.Revoked)
	}
	for _, s := range a.Services {
		if s.Name != "" && s.WarmUpPerSecond > 0 && len(z.Services) < maxServices {
			z.Services = append(z.Services, wireService{Name: s.Name, WarmUpPerSecond: s.WarmUpPerSecond})
		}
	}
	return encodeMessage(kindZoneAnnouncement, z)
}

// addTo adds the fields that other announcements lack.
func (w *wireZoneAnnouncement) addTo(a *Announcement) error {
	if len(w.Zones) > maxZones || len(w.Lost) > maxZones || len(w.Revoked) > maxZones || len(w.Services) > maxServices {
		return ErrMalformed
	}
	for _, s := range w.Services {
		if s.Name == "" || !(s.WarmUpPerSecond > 0 && s.WarmUpPerSecond <= directory.MaxWarmUpPerSecond) {
			return eris.Wrap(ErrMalformed, "service without a name or a rate")
		}
		a.Services = append(a.Services, directory.Service{Name: s.Name, WarmUpPerSecond: s.WarmUpPerSecond})
	}
	if !w.Known {
		return nil
	}
	for _, zone := range w.Zones {
		if !IsZoneName(zone) {
			return ErrMalformed
		}
	}
	lost, ok := zoneTimesFromWire(w.Lost)
	if !ok {
		return ErrMalformed
	}
	revoked, ok := zoneTimesFromWire(w.Revoked)
	if !ok {
		return ErrMalformed
	}
	slices.Sort(w.Zones)
	a.Evacuations = &evacuator.Snapshot{
		Evacuations: directory.Evacuations{Position: directory.Position{Era: w.Era, Revision: w.Revision}, Zones: slices.Compact(w.Zones)},
		Age:         fromMilliseconds(w.Age), Lost: lost, Revoked: revoked,
	}
	return nil
}

// IsZoneName reports whether messages can carry the name of a zone.
func IsZoneName(name string) bool {
	return name != "" && len(name) <= maxZoneName && utf8.ValidString(name)
}

func zoneTimesToWire(m map[string]time.Duration) []wireZoneTime {
	var list []wireZoneTime
	for zone, d := range m {
		list = append(list, wireZoneTime{Zone: zone, Time: toMilliseconds(d)})
	}
	return list
}

func zoneTimesFromWire(list []wireZoneTime) (map[string]time.Duration, bool) {
	var m map[string]time.Duration
	for _, z := range list {
		if !IsZoneName(z.Zone) {
			return nil, false
		}
		if m == nil {
			m = map[string]time.Duration{}
		}
		m[z.Zone] = fromMilliseconds(z.Time)
	}
	return m, true
}
