package membership

// strongFraction is the share of the largest capacity that an instance needs to count as
// strong. It is below one half because one strong instance may have to work for several
// services.
const strongFraction = 0.25

// Capacity is the capacity of an instance; 0 means unknown.
type Capacity struct {
	// LinkMbits is the bandwidth of its link in Mbit/s.
	LinkMbits int `json:"link_mbits"`
	// ProcessorMillis is its share of the processor in thousandths of a core.
	ProcessorMillis int `json:"processor_millis"`
}

// max returns the larger value of each part.
func (c Capacity) max(other Capacity) Capacity {
	return Capacity{max(c.LinkMbits, other.LinkMbits), max(c.ProcessorMillis, other.ProcessorMillis)}
}

// atLeast reports whether each part is at least a fraction of that of another capacity.
func (c Capacity) atLeast(other Capacity, fraction float64) bool {
	return float64(c.LinkMbits) >= fraction*float64(other.LinkMbits) &&
		float64(c.ProcessorMillis) >= fraction*float64(other.ProcessorMillis)
}

// SplitByCapacity returns the IDs of the instances with at least strongFraction of the
// largest link and of the largest share of a processor among them, and those of the
// others. Work that one instance does for all others belongs to a strong one.
func SplitByCapacity(records []Record) (strong, weak []string) {
	var largest Capacity
	for _, r := range records {
		largest = largest.max(r.Capacity)
	}
	for _, r := range records {
		if r.Capacity.atLeast(largest, strongFraction) {
			strong = append(strong, r.ID)
		} else {
			weak = append(weak, r.ID)
		}
	}
	return strong, weak
}
