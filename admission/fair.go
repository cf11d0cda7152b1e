package admission

import "slices"

// fair holds the waiting tickets of one class and priority. Organisations take
// turns by deficit round robin; one without waiting tickets leaves the round, so
// that the others use its share.
type fair struct {
	priority int
	round    []*backlog
	byName   map[string]*backlog
	size     int
}

// backlog is the waiting tickets of one organisation, oldest first.
type backlog struct {
	organisation string
	weight       int
	// credit is the number of tickets that may start in this turn.
	credit  int
	tickets []Ticket
}

func (f *fair) push(t Ticket) {
	b := f.byName[t.Organisation]
	if b == nil {
		b = &backlog{organisation: t.Organisation}
		f.byName[t.Organisation] = b
		f.round = append(f.round, b)
	}
	b.weight = max(1, t.Weight)
	b.tickets = append(b.tickets, t)
	f.size++
}

// pop removes the next ticket.
func (f *fair) pop() Ticket {
	b := f.round[0]
	if b.credit <= 0 {
		b.credit = b.weight
	}
	t := b.tickets[0]
	b.tickets = b.tickets[1:]
	b.credit--
	f.size--
	switch {
	case len(b.tickets) == 0:
		f.leave(0)
	case b.credit == 0:
		copy(f.round, f.round[1:])
		f.round[len(f.round)-1] = b
	}
	return t
}

// leave takes an organisation without waiting tickets out of the round.
func (f *fair) leave(place int) {
	delete(f.byName, f.round[place].organisation)
	f.round = slices.Delete(f.round, place, place+1)
}

// removeIf removes the tickets for which drop is true.
func (f *fair) removeIf(drop func(Ticket) bool) {
	for place := len(f.round) - 1; place >= 0; place-- {
		b := f.round[place]
		before := len(b.tickets)
		b.tickets = slices.DeleteFunc(b.tickets, drop)
		f.size -= before - len(b.tickets)
		if len(b.tickets) == 0 {
			f.leave(place)
		}
	}
}

// levels holds the waiting tickets of one class, highest priority first.
type levels struct {
	fair []*fair
	size int
}

func (l *levels) push(t Ticket) {
	place, found := slices.BinarySearchFunc(l.fair, t.Priority, func(f *fair, priority int) int {
		return priority - f.priority
	})
	if !found {
		l.fair = slices.Insert(l.fair, place, &fair{priority: t.Priority, byName: map[string]*backlog{}})
	}
	l.fair[place].push(t)
	l.size++
}

// pop removes the next ticket of the highest priority that waits.
func (l *levels) pop() (Ticket, bool) {
	for _, f := range l.fair {
		if f.size > 0 {
			l.size--
			return f.pop(), true
		}
	}
	return Ticket{}, false
}

// ahead is the number of tickets that go before a new one of a priority.
func (l *levels) ahead(priority int) int {
	ahead := 0
	for _, f := range l.fair {
		if f.priority >= priority {
			ahead += f.size
		}
	}
	return ahead
}

func (l *levels) removeIf(drop func(Ticket) bool) {
	l.size = 0
	for _, f := range l.fair {
		f.removeIf(drop)
		l.size += f.size
	}
	l.fair = slices.DeleteFunc(l.fair, func(f *fair) bool { return f.size == 0 })
}
