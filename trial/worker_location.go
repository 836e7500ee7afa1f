package trial

import (
	"fmt"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// workerLocation is the name and place of one worker.
type workerLocation struct {
	name, zone, rack string
	accelerators     int
}

// workerLocations lists the workers of a document, zone by zone and rack by rack. A document
// without a topology gets the given number of workers in one rack.
func workerLocations(d *document.Document, workers int) []workerLocation {
	t := d.Topology
	if t == nil {
		t = &document.Topology{
			Accelerators: standin.DefaultAccelerators,
			Zones:        []document.TopologyZone{{Name: "z1", Racks: []int{workers}}},
		}
	}
	var locations []workerLocation
	for _, zone := range t.Zones {
		for rackIndex, count := range zone.Racks {
			rack := fmt.Sprintf("%s-r%d", zone.Name, rackIndex+1)
			for i := range count {
				locations = append(locations, workerLocation{
					name:         fmt.Sprintf("%s-w%d", rack, i+1),
					zone:         zone.Name,
					rack:         rack,
					accelerators: t.Accelerators,
				})
			}
		}
	}
	return locations
}
