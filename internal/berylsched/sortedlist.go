package berylsched

import "slices"

// sortedList is a list in the order of compare, kept as one sorted slice: a rank takes a binary search, and most elements
// are added near the end and removed from the front. The functions take compare as a parameter to save a word per list.
type sortedList[T any] struct {
	items []T
	head  int
}

// all returns the elements in order; the slice is valid until the list changes.
func (l *sortedList[T]) all() []T {
	return l.items[l.head:]
}

func (l *sortedList[T]) len() int {
	return len(l.items) - l.head
}

func (l *sortedList[T]) at(i int) T {
	return l.items[l.head+i]
}

// rank returns how many elements come before x, which need not be in the list.
func (l *sortedList[T]) rank(x T, compare func(a, b T) int) int {
	i, _ := slices.BinarySearchFunc(l.all(), x, compare)
	return i
}

func (l *sortedList[T]) add(x T, compare func(a, b T) int) {
	i := l.len()
	if i > 0 && compare(l.at(i-1), x) > 0 {
		i = l.rank(x, compare)
	}
	if l.head > 0 && i < l.len()/2 {
		l.head--
		copy(l.items[l.head:], l.items[l.head+1:l.head+1+i])
		l.items[l.head+i] = x
		return
	}
	if len(l.items) == cap(l.items) && l.head > l.len() {
		// Elements that are added at the end and removed from the front would otherwise make the slice grow.
		n := copy(l.items, l.all())
		clear(l.items[n:])
		l.items, l.head = l.items[:n], 0
	}
	l.items = slices.Insert(l.items, l.head+i, x)
}

// remove removes x, if it is in the list.
func (l *sortedList[T]) remove(x T, compare func(a, b T) int) {
	if l.len() > 0 && compare(l.at(0), x) == 0 {
		l.removeAt(0)
		return
	}
	if i, found := slices.BinarySearchFunc(l.all(), x, compare); found {
		l.removeAt(i)
	}
}

func (l *sortedList[T]) removeAt(i int) {
	if i < l.len()/2 {
		copy(l.items[l.head+1:l.head+1+i], l.items[l.head:l.head+i])
		var none T
		l.items[l.head] = none
		l.head++
	} else {
		l.items = slices.Delete(l.items, l.head+i, l.head+i+1)
	}
	if l.len() == 0 {
		l.items, l.head = l.items[:0], 0
	}
}
