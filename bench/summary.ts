/** Summarises the records of a load by tier. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {Milliseconds} from '../src/shared/clock.js';
import {results, type RequestRecord} from './records.js';

/** The times of a tier in the configuration. */
export type TierTargets = {
	readonly firstTokenMilliseconds: Milliseconds;
	readonly answerMilliseconds: Milliseconds;
};

export type Latencies = {
	readonly count: number;
	readonly median: Milliseconds;
	readonly percentile95: Milliseconds;
	readonly percentile99: Milliseconds;
	readonly maximum: Milliseconds;
};

export type TierSummary = {
	readonly tier: string;
	readonly sent: number;
	/** Accepted by the client and correct. */
	readonly completed: number;
	/** Completed within the tier's times. */
	readonly inTime: number;
	readonly refused: number;
	readonly unknown: number;
	/** Accepted as complete although wrong or partial. */
	readonly wrong: number;
	readonly firstToken: Latencies;
	readonly total: Latencies;
};

const microsecondsPerMillisecond = 1000;

function createHistogram(): Histogram {
	return build({
		bitBucketSize: 64, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3,
	});
}

/** Percentiles of durations. Undefined values are ignored. */
export function summariseLatencies(values: ReadonlyArray<Milliseconds | undefined>): Latencies {
	const histogram = createHistogram();
	for (const value of values) {
		if (value !== undefined) {
			histogram.recordValue(Math.max(1, Math.round(value * microsecondsPerMillisecond)));
		}
	}

	const percentile = (rank: number) => histogram.getValueAtPercentile(rank) / microsecondsPerMillisecond;
	return {
		count: histogram.totalCount,
		median: percentile(50),
		percentile95: percentile(95),
		percentile99: percentile(99),
		maximum: histogram.maxValue / microsecondsPerMillisecond,
	};
}

/** Whether a correct response arrived within the times of its tier. The time to first token only counts for streams. */
export function isInTime(record: RequestRecord, targets: TierTargets): boolean {
	const isFirstTokenInTime = !record.isStream || (record.firstTokenMilliseconds ?? Number.POSITIVE_INFINITY) <= targets.firstTokenMilliseconds;
	return record.isCorrect && isFirstTokenInTime && record.totalMilliseconds <= targets.answerMilliseconds;
}

function summariseTier(tier: string, targets: TierTargets, records: readonly RequestRecord[]): TierSummary {
	const completed = records.filter(record => record.isCorrect);
	return {
		tier,
		sent: records.length,
		completed: completed.length,
		inTime: completed.filter(record => isInTime(record, targets)).length,
		refused: records.filter(({result}) => result === results.refused).length,
		unknown: records.filter(({result}) => result === results.unknown).length,
		wrong: records.filter(({result, isCorrect}) => result === results.completed && !isCorrect).length,
		firstToken: summariseLatencies(completed.filter(({isStream}) => isStream).map(record => record.firstTokenMilliseconds)),
		total: summariseLatencies(completed.map(record => record.totalMilliseconds)),
	};
}

/** Returns one summary for each tier, in the order of `tiers`. */
export function summarise(records: readonly RequestRecord[], tiers: Readonly<Record<string, TierTargets>>): TierSummary[] {
	return Object.entries(tiers).map(([tier, targets]) => summariseTier(tier, targets, records.filter(record => record.tier === tier)));
}

/** Counts failures by type, the most frequent first. */
export function countFailures(records: readonly RequestRecord[]): Array<readonly [string, number]> {
	const counts = new Map<string, number>();
	for (const {failureType} of records) {
		if (failureType !== undefined) {
			counts.set(failureType, (counts.get(failureType) ?? 0) + 1);
		}
	}

	return [...counts].toSorted(([, one], [, other]) => other - one);
}
