package rows

import "cmp"

// eraBits is how many bits of a revision hold the number of a transaction within its era.
const eraBits = 40

// NewRev returns the revision of a transaction of the table service in one of its eras. A new era begins when the service is restored from
// a backup that lacks some acknowledged writes. It issues their numbers again, but a revision is later than all those of earlier eras.
func NewRev(era, number int64) int64 {
	return era<<eraBits | number
}

// Era returns the era in which a revision was issued, and the number of its transaction there.
func Era(rev int64) (era, number int64) {
	return rev >> eraBits, rev & (1<<eraBits - 1)
}

// CompareEras returns -1 if revision a was issued in an earlier era than b, 1 if in a later one, and 0 if in the same one.
func CompareEras(a, b int64) int {
	return cmp.Compare(a>>eraBits, b>>eraBits)
}
