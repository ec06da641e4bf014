package main

func slowReader(b *Bed, trouble bool) (int, error) { return 0, nil }
