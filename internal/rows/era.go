package rows

import "cmp"

// eraBits is how many bits of a revision number the transactions of one era.
const eraBits = 40

// At returns the revision of a transaction of the table service in one of its eras. A new era begins when the service comes back from a copy that
// lacks some of what it had acknowledged; it gives the numbers of the lost transactions out again, and a revision is later than all of earlier eras.
func At(era, number int64) int64 {
	return era<<eraBits | number
}

// Era returns the era in which a revision was given out, and the number of its transaction there.
func Era(rev int64) (era, number int64) {
	return rev >> eraBits, rev & (1<<eraBits - 1)
}

// CompareEras returns -1 where a revision was given out in an earlier era than another one, 1 where in a later one, and 0 where in the same.
func CompareEras(a, b int64) int {
	return cmp.Compare(a>>eraBits, b>>eraBits)
}
