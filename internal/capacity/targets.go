package capacity

import "time"

// Sizes expected in two years, from section 2 of the design page.
const (
	targetInstances     = 390
	targetDomains       = 18
	targetRegions       = 8
	targetAccelerators  = 2100
	targetOrganisations = 19000
	targetPipelines     = 20
)

// simulatedStart is the time at which simulated clocks start.
var simulatedStart = time.Unix(1_700_000_000, 0)
