/** An endpoint that the slow detector observes. */
export type ObservedEndpoint = {
	readonly endpoint: string;
	readonly service: string;
	/** Kind of hardware. Endpoints are compared only with others of the same kind. */
	readonly hardware: string;
};

/** Current average latency of one endpoint. */
export type CurrentLatency = {
	readonly observed: ObservedEndpoint;
	/** Mean of the logarithms of latencies in milliseconds. */
	readonly meanLogMs: number;
	/** Number of observations in the mean. */
	readonly observations: number;
};

/** Current latencies of endpoints. They are sorted once, so that the medians for 850 endpoints do not take 850 sorts. */
export class EndpointLatencies {
	static create(latencies: Iterable<CurrentLatency>): EndpointLatencies {
		const groups = new Map<string, number[]>();
		for (const {observed, meanLogMs} of latencies) {
			const key = groupKey(observed);
			const group = groups.get(key) ?? [];
			groups.set(key, group);
			group.push(meanLogMs);
		}

		return new EndpointLatencies(new Map([...groups].map(([key, group]) => [key, group.toSorted((left, right) => left - right)])));
	}

	private constructor(private readonly groups: ReadonlyMap<string, readonly number[]>) {}

	/**
	Returns the median of the other endpoints with the same service and hardware, as a logarithm of milliseconds.

	@param latency one of the latencies that the object was created with
	@returns `undefined` when there are no other endpoints
	*/
	medianOfOthers({observed, meanLogMs}: CurrentLatency): number | undefined {
		const group = this.groups.get(groupKey(observed)) ?? [];
		return medianWithout(group, group.indexOf(meanLogMs));
	}
}

/** Kinds of hardware differ in speed by design, so a comparison across them would report every endpoint of the slower kind. */
function groupKey({service, hardware}: ObservedEndpoint): string {
	return JSON.stringify([service, hardware]);
}

/** Returns the median of sorted values, excluding the one at an index. */
function medianWithout(sorted: readonly number[], omittedIndex: number): number | undefined {
	const count = sorted.length - 1;
	if (count < 1) {
		return undefined;
	}

	const at = (index: number): number => sorted[index < omittedIndex ? index : index + 1]!;
	const middle = Math.floor(count / 2);
	return count % 2 === 1 ? at(middle) : (at(middle - 1) + at(middle)) / 2;
}
