package admission

import "slices"

// fairQueue holds the waiting tickets of one class and priority. It schedules
// organisations by deficit round robin; one without waiting tickets is removed from
// the rotation, so that the others use its share.
type fairQueue struct {
	priority int
	// active lists the organisations with waiting tickets; the first one has its turn.
	active         []*organisationQueue
	byOrganisation map[string]*organisationQueue
	size           int
}

// organisationQueue holds the waiting tickets of one organisation, oldest first.
type organisationQueue struct {
	organisation string
	weight       int
	// deficit is the number of tickets that may still start in the current turn.
	deficit int
	tickets []Ticket
}

func (f *fairQueue) push(t Ticket) {
	queue := f.byOrganisation[t.Organisation]
	if queue == nil {
		queue = &organisationQueue{organisation: t.Organisation}
		f.byOrganisation[t.Organisation] = queue
		f.active = append(f.active, queue)
	}
	queue.weight = max(1, t.Weight)
	queue.tickets = append(queue.tickets, t)
	f.size++
}

// pop removes and returns the next ticket. The queue must not be empty.
func (f *fairQueue) pop() Ticket {
	queue := f.active[0]
	if queue.deficit <= 0 {
		queue.deficit = queue.weight
	}
	ticket := queue.tickets[0]
	queue.tickets = queue.tickets[1:]
	queue.deficit--
	f.size--
	switch {
	case len(queue.tickets) == 0:
		f.removeAt(0)
	case queue.deficit == 0:
		copy(f.active, f.active[1:])
		f.active[len(f.active)-1] = queue
	}
	return ticket
}

// removeAt removes an organisation without waiting tickets from the rotation.
func (f *fairQueue) removeAt(index int) {
	delete(f.byOrganisation, f.active[index].organisation)
	f.active = slices.Delete(f.active, index, index+1)
}

// removeIf removes the tickets for which drop returns true.
func (f *fairQueue) removeIf(drop func(Ticket) bool) {
	for index := len(f.active) - 1; index >= 0; index-- {
		queue := f.active[index]
		before := len(queue.tickets)
		queue.tickets = slices.DeleteFunc(queue.tickets, drop)
		f.size -= before - len(queue.tickets)
		if len(queue.tickets) == 0 {
			f.removeAt(index)
		}
	}
}

// classQueue holds the waiting tickets of one class, highest priority first.
type classQueue struct {
	byPriority []*fairQueue
	size       int
}

func (c *classQueue) push(t Ticket) {
	index, found := slices.BinarySearchFunc(c.byPriority, t.Priority, func(f *fairQueue, priority int) int {
		return priority - f.priority
	})
	if !found {
		c.byPriority = slices.Insert(c.byPriority, index, &fairQueue{priority: t.Priority, byOrganisation: map[string]*organisationQueue{}})
	}
	c.byPriority[index].push(t)
	c.size++
}

// pop removes and returns the next ticket of the highest priority, and false when
// none waits.
func (c *classQueue) pop() (Ticket, bool) {
	for _, f := range c.byPriority {
		if f.size > 0 {
			c.size--
			return f.pop(), true
		}
	}
	return Ticket{}, false
}

// countAhead returns the number of waiting tickets that precede a new one of the
// given priority.
func (c *classQueue) countAhead(priority int) int {
	ahead := 0
	for _, f := range c.byPriority {
		if f.priority >= priority {
			ahead += f.size
		}
	}
	return ahead
}

func (c *classQueue) removeIf(drop func(Ticket) bool) {
	c.size = 0
	for _, f := range c.byPriority {
		f.removeIf(drop)
		c.size += f.size
	}
	c.byPriority = slices.DeleteFunc(c.byPriority, func(f *fairQueue) bool { return f.size == 0 })
}
