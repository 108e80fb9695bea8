package berylbatch

// accountTurns orders the accounts whose items wait for one service, by start-time fair queueing in tokens of work. Its zero value has
// all accounts at the same place.
type accountTurns struct {
	// now is the virtual time of the last choice.
	now float64
	// next is the virtual time of the next call of the accounts that are ahead of now.
	next map[string]float64
}

// at returns the virtual time of an account's next call. An account that was idle starts at the present, so that it saves up nothing.
func (t *accountTurns) at(account string) float64 {
	if t == nil {
		return 0
	}
	return max(t.next[account], t.now)
}

// charge advances an account by the tokens of a call that begins.
func (t *accountTurns) charge(account string, tokens int64) {
	t.now = t.at(account)
	if t.next == nil {
		t.next = make(map[string]float64)
	}
	t.next[account] = t.now + float64(max(tokens, 1))
	for name, next := range t.next {
		if next <= t.now {
			delete(t.next, name)
		}
	}
}
