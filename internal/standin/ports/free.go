package ports

// Free returns distinct ports of the loopback address that no process uses and no
// reservation holds at present. It does not reserve them.
func Free(count int) ([]int, error) {
	r, e := Reserve(count)
	if e != nil {
		return nil, e
	}
	r.Close()
	return r.Ports(), nil
}
