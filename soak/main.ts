#!/usr/bin/env node
import {randomInt} from 'node:crypto';
import {mkdir, rm} from 'node:fs/promises';
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {failedSeeds} from './failed-seeds.js';
import {runSoak} from './soak.js';

const minuteMs = 60_000;

const exitCodes = {kept: 0, violated: 1} as const;

function parsePositive(value: string): number {
	const number = Number(value);
	if (!(number > 0)) {
		throw new InvalidArgumentError('expected a number above 0');
	}

	return number;
}

type Options = {
	readonly seed?: number;
	readonly minutes: number;
	readonly instances: number;
	readonly callers: number;
	readonly directory: string;
	readonly regressions: boolean;
};

/** @returns whether the run of one seed kept all guarantees */
async function runSeed(seed: number, minutes: number, {instances, callers, directory: parent}: Options): Promise<boolean> {
	process.stdout.write(`seed ${seed}\n`);
	const directory = `${parent}/${seed}`;
	await rm(directory, {recursive: true, force: true});
	await mkdir(directory, {recursive: true});
	const {violations, statuses, faults} = await runSoak({
		seed, durationMs: minutes * minuteMs, instances, callers, directory,
	});
	process.stdout.write(`calls by status ${JSON.stringify(statuses)}\nfaults ${JSON.stringify(faults)}\n`);
	for (const {check, detail} of violations) {
		process.stdout.write(`violated ${check}: ${detail}\n`);
	}

	if (violations.length > 0) {
		process.stdout.write(`seed ${seed}: ${violations.length} violations; logs in ${directory}\n`);
		return false;
	}

	await rm(directory, {recursive: true});
	process.stdout.write(`seed ${seed}: all promises kept\n`);
	return true;
}

const program = new Command('soak')
	.description('Injects random faults into gateway processes and checks the guarantees against what callers and endpoints record')
	.option('--seed <number>', 'seed of the run (default: a new one)', parsePositive)
	.option('--minutes <number>', 'length of the run', parsePositive, 1)
	.option('--instances <number>', 'gateway processes', parsePositive, 4)
	.option('--callers <number>', 'callers', parsePositive, 24)
	.option('--directory <path>', 'folder for the logs of a failed run', 'bench-results/soak')
	.option('--regressions', 'run the seeds that once failed instead', false)
	.action(async (options: Options) => {
		const {seed = randomInt(1, 2 ** 31), minutes, regressions} = options;
		let areKept = true;
		for (const run of regressions ? failedSeeds : [{seed, minutes}]) {
			// eslint-disable-next-line no-await-in-loop -- concurrent runs would influence each other
			areKept = await runSeed(run.seed, run.minutes, options) && areKept;
		}

		process.exit(areKept ? exitCodes.kept : exitCodes.violated);
	});

await program.parseAsync();
