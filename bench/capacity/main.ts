/**
Measures the costs of an entry process against sizes that grow towards the target of docs/design.md, section 1.5.

The measurements use processor time instead of wall-clock time wherever possible, because the machine may be shared. Each point is the median of several windows and, if there are several entries, of all of them.
*/
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Command} from 'commander';
import {
	measureDocumentBytes, measureAdoption, measureAggregates, type AggregateProfile,
} from './aggregate-runs.js';
import {
	measureEndpoints, measureEntries, measureSingleEntries, measurePolls, type FleetProfile,
} from './fleet-runs.js';
import {measureRequests} from './request-runs.js';
import {formatSeries, type Series} from './series.js';

type Profile = {
	readonly aggregates: AggregateProfile;
	readonly fleet: FleetProfile;
};

const fullProfile: Profile = {
	aggregates: {
		windows: 5,
		windowMs: 30,
		endpoints: [50, 200, 425, 850],
		slots: [7, 50, 100, 200],
		waiting: [100, 500, 2000],
		workspaces: [10, 300, 1100],
		services: [7, 14, 28],
	},
	fleet: {
		windows: 3,
		windowMs: 1500,
		changes: 3,
		entryCounts: [3, 7, 14, 28],
		endpointCounts: [14, 100, 425],
		memoryEndpointCounts: [0, 425, 850, 1700],
		memoryWorkspaceCounts: [100, 600, 1100],
		requestCounts: [0, 100, 200, 300],
		engineCounts: [4, 16, 48],
	},
};

const quickProfile: Profile = {
	aggregates: {
		...fullProfile.aggregates,
		windows: 3,
		windowMs: 8,
		endpoints: [50, 200, 425],
		slots: [7, 50, 200],
	},
	fleet: {
		...fullProfile.fleet,
		windows: 1,
		windowMs: 1500,
		changes: 1,
		entryCounts: [3, 5, 7],
		endpointCounts: [14, 50, 100],
		memoryEndpointCounts: [0, 425, 850],
		requestCounts: [0, 50, 100],
		engineCounts: [2, 8, 16],
	},
};

type Part = (profile: Profile) => Promise<Series[]>;

const parts = {
	aggregates: async ({aggregates}) => measureAggregates(aggregates),
	adoption: async ({aggregates}) => measureAdoption(aggregates),
	requests: async ({fleet}) => measureRequests(fleet),
	memory: async ({fleet}) => measureSingleEntries(fleet),
	polls: async ({fleet}) => measurePolls(fleet),
	endpoints: async ({fleet}) => measureEndpoints(fleet),
	entries: async ({fleet}) => measureEntries(fleet),
} satisfies Record<string, Part>;

type PartName = keyof typeof parts;

type Options = {
	readonly quick: boolean;
	readonly parts: readonly PartName[];
	readonly output: string;
};

function parseOptions(): Options {
	const names = Object.keys(parts) as PartName[];
	const program = new Command('capacity')
		.description('Measures slopes of processor time, memory, messages and reads of an entry process, for docs/CAPACITY.md.')
		.option('--quick', 'fewer and smaller points, about a minute', false)
		.option('--parts <names...>', `what to measure: ${names.join(', ')}`, names)
		.option('--output <directory>', 'where the JSON result goes', 'bench-results');
	const options = program.parse().opts<Options>();
	const unknown = options.parts.filter(name => !names.includes(name));
	return unknown.length > 0 ? program.error(`unknown parts: ${unknown.join(', ')}`) : options;
}

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

async function run({quick, parts: names, output}: Options): Promise<void> {
	const startedAt = Date.now();
	const profile = quick ? quickProfile : fullProfile;
	const results: Partial<Record<PartName, Series[]>> = {};
	const {baseBytes, overlayBytes} = measureDocumentBytes();
	print(`documents of the target size: base ${baseBytes} bytes, overlay ${overlayBytes} bytes of JSON`);
	for (const name of names) {
		// eslint-disable-next-line no-await-in-loop
		const series = await parts[name](profile);
		results[name] = series;
		print(`\n${name}, until ${((Date.now() - startedAt) / 1000).toFixed(0)} s\n\n| measure | points | slope | at 0 | worst residual |\n|---|---|---|---|---|`);
		print(series.map(item => formatSeries(item)).join('\n'));
	}

	mkdirSync(output, {recursive: true});
	writeFileSync(path.join(output, `capacity-${startedAt}.json`), JSON.stringify({
		quick, baseBytes, overlayBytes, results,
	}, undefined, '\t'));
}

await run(parseOptions());
