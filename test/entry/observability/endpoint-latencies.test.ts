import test from 'ava';
import fc from 'fast-check';
import {EndpointLatencies, type CurrentLatency} from '../../../src/entry/observability/endpoint-latencies.js';

function medianOf(values: readonly number[]): number | undefined {
	const sorted = values.toSorted((left, right) => left - right);
	const lower = sorted[Math.floor((sorted.length - 1) / 2)];
	const upper = sorted[Math.floor(sorted.length / 2)];
	return lower === undefined || upper === undefined ? undefined : (lower + upper) / 2;
}

// Guards against comparing an endpoint with itself, with another service or with other hardware.
test('the median is that of all other endpoints of the same service and hardware', t => {
	const name = fc.constantFrom('a', 'b');
	const times = fc.array(fc.record({service: name, hardware: name, meanLogMs: fc.integer({min: -5, max: 5})}), {maxLength: 12});
	fc.assert(fc.property(times, descriptions => {
		const latencies: CurrentLatency[] = descriptions.map(({service, hardware, meanLogMs}, index) => ({
			observed: {endpoint: `endpoint-${index}`, service, hardware}, meanLogMs, observations: 10,
		}));
		const endpointLatencies = EndpointLatencies.create(latencies);
		for (const latency of latencies) {
			const others = latencies.filter(other => other !== latency && other.observed.service === latency.observed.service);
			const sameHardware = others.filter(other => other.observed.hardware === latency.observed.hardware);
			const expected = medianOf(sameHardware.map(other => other.meanLogMs));
			t.is(endpointLatencies.medianOfOthers(latency), expected);
		}
	}));
});
