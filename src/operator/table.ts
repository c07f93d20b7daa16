/** A value in a table; `undefined` is printed as a hyphen. */
export type Cell = string | number | undefined;

/** Formats rows as columns separated by two spaces. Columns that hold only numbers are aligned to the right. */
export function formatTable(headings: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string {
	const texts = rows.map(row => row.map(cell => cell === undefined ? '-' : String(cell)));
	const widths = headings.map((heading, column) => Math.max(heading.length, ...texts.map(row => row[column]?.length ?? 0)));
	const isNumeric = headings.map((_, column) => rows.length > 0 && rows.every(row => typeof row[column] !== 'string'));
	return [headings, ...texts]
		.map(row => row.map((text, column) => isNumeric[column] ? text.padStart(widths[column]!) : text.padEnd(widths[column]!)).join('  ').trimEnd())
		.join('\n');
}

/** Formats a duration in a unit that fits its size, such as `350 ms`, `4.2 s` or `3 min`. */
export function formatDuration(durationMs: number): string {
	if (durationMs < 1000) {
		return `${Math.round(durationMs)} ms`;
	}

	if (durationMs < 120_000) {
		return `${(durationMs / 1000).toFixed(1)} s`;
	}

	return durationMs < 7_200_000 ? `${Math.round(durationMs / 60_000)} min` : `${Math.round(durationMs / 3_600_000)} h`;
}
