/** Reads the values that the bench needs from the metrics of an entry. */
import {request} from 'undici';
import type {EntryProcess} from '../standins/fleet/index.js';

export type EntryMetrics = {
	/** Processor time since the start of the process. */
	readonly cpuSeconds: number;
	readonly residentBytes: number;
	/** Broken invariants, summed over all properties. */
	readonly invariantsBroken: number;
	/** Waiting requests, summed over all tiers. */
	readonly waiting: number;
};

function sumMetric(text: string, name: string): number {
	let sum = 0;
	for (const line of text.split('\n')) {
		if (line.startsWith(`${name} `) || line.startsWith(`${name}{`)) {
			sum += Number(line.slice(line.lastIndexOf(' ') + 1));
		}
	}

	return sum;
}

export async function readEntryMetrics({operatorsUrl}: EntryProcess): Promise<EntryMetrics> {
	const response = await request(`${operatorsUrl}/metrics`, {headersTimeout: 5000, bodyTimeout: 5000});
	const text = await response.body.text();
	return {
		cpuSeconds: sumMetric(text, 'process_cpu_seconds_total'),
		residentBytes: sumMetric(text, 'process_resident_memory_bytes'),
		invariantsBroken: sumMetric(text, 'jackdawfork_invariants_broken_total'),
		waiting: sumMetric(text, 'jackdawfork_waiting_requests'),
	};
}
