/** Measured points and their linear regression. */

export type Point = {
	readonly x: number;
	readonly y: number;
};

/** The least-squares line `y = intercept + slope * x`. */
export type Line = {
	readonly intercept: number;
	readonly slope: number;
	/** Largest vertical distance of a point from the line, as a fraction of the largest y. A large value means that the growth is not linear. */
	readonly worstResidual: number;
};

export type Series = {
	readonly name: string;
	/** What x counts. */
	readonly against: string;
	/** Unit of y. */
	readonly unit: string;
	readonly points: readonly Point[];
	readonly line: Line;
};

export function median(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function fitLine(points: readonly Point[]): Line {
	const meanX = mean(points.map(({x}) => x));
	const meanY = mean(points.map(({y}) => y));
	const covariance = points.reduce((sum, {x, y}) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, {x}) => sum + ((x - meanX) ** 2), 0);
	const slope = covariance / variance;
	const intercept = meanY - (slope * meanX);
	const largest = Math.max(...points.map(({y}) => Math.abs(y)));
	const worst = Math.max(...points.map(({x, y}) => Math.abs(y - intercept - (slope * x))));
	return {intercept, slope, worstResidual: largest === 0 ? 0 : worst / largest};
}

export function createSeries(series: Omit<Series, 'line'>): Series {
	return {...series, line: fitLine(series.points)};
}

function formatNumber(value: number): string {
	return value === 0 ? '0' : Number(value.toPrecision(4)).toString();
}

/** One line of a Markdown table: name, points, slope, value at 0 and worst residual. */
export function formatSeries({name, against, unit, points, line}: Series): string {
	const pairs = points.map(({x, y}) => `${formatNumber(x)}: ${formatNumber(y)}`).join(', ');
	return `| ${name} (${unit}) against ${against} | ${pairs} | ${formatNumber(line.slope)} | ${formatNumber(line.intercept)} | ${(line.worstResidual * 100).toFixed(0)} % |`;
}
