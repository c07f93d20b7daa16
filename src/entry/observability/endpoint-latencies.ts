/** An endpoint as the slow detector knows it. */
export type ObservedEndpoint = {
	readonly endpoint: string;
	readonly service: string;
	/** Endpoints are compared with peers of the same hardware. */
	readonly hardware: string;
};

/** The present time of one endpoint. */
export type CurrentLatency = {
	readonly observed: ObservedEndpoint;
	/** Mean logarithm of milliseconds. */
	readonly meanLogMs: number;
	/** Observations behind the mean. */
	readonly observations: number;
};

/** Present times of endpoints, sorted once, so that a median for each of 850 endpoints does not need a sort each. */
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
	The median logarithm of an endpoint's peers of the same service and hardware, without its own.

	@param time one of the times that the object was created with
	@returns `undefined` when it has no peers
	*/
	medianOfOthers({observed, meanLogMs}: CurrentLatency): number | undefined {
		const group = this.groups.get(groupKey(observed)) ?? [];
		return medianWithout(group, group.indexOf(meanLogMs));
	}
}

/** Hardware kinds differ in speed by design, so a comparison across them would name every endpoint of the slower kind. */
function groupKey({service, hardware}: ObservedEndpoint): string {
	return JSON.stringify([service, hardware]);
}

/** The median of sorted values, one of them left out. */
function medianWithout(sorted: readonly number[], omittedIndex: number): number | undefined {
	const count = sorted.length - 1;
	if (count < 1) {
		return undefined;
	}

	const at = (index: number): number => sorted[index < omittedIndex ? index : index + 1]!;
	const middle = Math.floor(count / 2);
	return count % 2 === 1 ? at(middle) : (at(middle - 1) + at(middle)) / 2;
}
