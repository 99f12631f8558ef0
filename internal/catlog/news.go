package catlog

import "damaskreach/internal/rows"

// News returns those of the changed rows that With would take in: of their keys no revision as high is known.
func (c Catalog) News(changed []rows.Row) []rows.Row {
	b := newBatch(c)
	var news []rows.Row
	for _, row := range changed {
		known := b.of(row.Key)
		if row.Rev > max(known.good.rev, known.gone, known.bad.row.Rev, c.complete) {
			news = append(news, row)
		}
	}
	return news
}
