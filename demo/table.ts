/** Formats rows as a table with aligned columns. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const lines = [header, ...rows].map(row => row.map(String));
	const widths = header.map((_, column) => Math.max(...lines.map(line => line[column]!.length)));
	return lines
		.map(line => line.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  '))
		.join('\n');
}
