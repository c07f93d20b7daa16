/** Common start-up of the stand-in programs: reads the settings file, logs the addresses and exits with the parent process. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {Command} from 'commander';
import type {z} from 'zod';
import {createLogger} from '../src/shared/log.js';
import type {Disposable} from '../src/shared/disposable-store.js';

/** A running stand-in. */
export type RunningStandIn = Disposable & {
	readonly address: string;
};

/**
Runs stand-ins from a settings file: prints `event=listening` with name and address for each, then `event=ready`.

The process ends on SIGTERM, on SIGINT, and when its standard input closes, so that no stand-in outlives its parent.
*/
export async function runStandIns<Schema extends z.ZodType<readonly unknown[]>>(
	name: string,
	schema: Schema,
	start: (settings: z.output<Schema>[number]) => Promise<RunningStandIn>,
): Promise<void> {
	const command = new Command(name).requiredOption('--settings <file>', 'JSON array with the settings of each stand-in');
	command.parse();
	const {settings: path} = command.opts<{settings: string}>();
	const settings = schema.parse(JSON.parse(readFileSync(path, 'utf8')));
	const logger = createLogger({name});
	const running = await Promise.all(settings.map(async item => start(item as z.output<Schema>[number])));
	const stop = async () => {
		await Promise.all(running.map(async standIn => standIn.dispose()));
		process.stdin.destroy();
	};

	process.once('SIGTERM', () => {
		void stop();
	});
	process.once('SIGINT', () => {
		void stop();
	});
	process.stdin.resume().once('close', () => {
		void stop();
	});
	for (const [index, standIn] of running.entries()) {
		logger.info({index, address: standIn.address}, 'listening');
	}

	logger.info('ready');
}
