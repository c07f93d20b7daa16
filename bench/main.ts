/** The bench: compares a fleet of real processes with baselines under a seeded load. */
import process from 'node:process';
import {Command, InvalidArgumentError, Option} from 'commander';
import {BenchRun, type BenchOptions} from './bench-run.js';
import {scenarioNames} from './profiles.js';
import {siteNames} from './site.js';

function parsePositive(text: string): number {
	const value = Number(text);
	if (!(value > 0)) {
		throw new InvalidArgumentError('expected a number above 0');
	}

	return value;
}

function parseOptions(): BenchOptions {
	const program = new Command('bench')
		.description('Measures goodput by tier, wasted prefill, zone changes and overhead, compared with baselines. Exits with 1 if an invariant is broken.')
		.option('--quick', 'a short run of under a minute', false)
		.option('--seed <number>', 'seed of the load', parsePositive, 1)
		.option('--load-seconds <number>', 'length of each goodput run, at least 4; longer runs vary less', parsePositive)
		.option('--keep-logs', 'keep the settings and logs of the fleet and print their directory', false)
		.option('--output <directory>', 'where the JSON result goes', 'bench-results')
		.addOption(new Option('--scenario <names...>', 'what to measure').choices(scenarioNames))
		.addOption(new Option('--deployment <name>', 'whose deployment and load').choices(siteNames).default('clachan'));
	return program.parse().opts<BenchOptions>();
}

const run = await BenchRun.start(parseOptions());
try {
	const isClean = await run.measure();
	process.exitCode = isClean ? 0 : 1;
} finally {
	await run.dispose();
}
