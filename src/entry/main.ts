#!/usr/bin/env node
import process from 'node:process';
import {Command} from 'commander';
import {z} from 'zod';
import {SystemClock} from '../shared/clock.js';
import {createLogger} from '../shared/log.js';
import {EntryProcess} from './entry-process.js';
import {readEntrySettings, type EntrySettings} from './settings.js';

/** Exit codes of the entry program. */
const exitCodes = {
	stopped: 0,
	failed: 1,
	invalidSettings: 2,
} as const;

function readSettings(path: string): EntrySettings {
	try {
		return readEntrySettings(path);
	} catch (error) {
		const reason = error instanceof z.ZodError ? z.prettifyError(error) : String(error);
		process.stderr.write(`jackdawfork-entry: settings ${path}: ${reason}\n`);
		process.exit(exitCodes.invalidSettings);
	}
}

async function runEntry(settingsPath: string): Promise<void> {
	const settings = readSettings(settingsPath);
	const logger = createLogger({name: 'jackdawfork-entry', level: settings.logLevel, fields: {slot: settings.slot}});
	const disposeAndExit = async (exitCode: number) => {
		await entry.dispose();
		process.exit(exitCode);
	};

	const entry = EntryProcess.create({
		settings,
		clock: SystemClock.create(),
		logger,
		onExitRequested(exitCode) {
			void disposeAndExit(exitCode);
		},
	});
	const stop = async () => {
		await entry.shutDown();
		await disposeAndExit(exitCodes.stopped);
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void stop();
		});
	}

	try {
		await entry.start();
	} catch (error) {
		logger.fatal({err: error}, 'start-failed');
		await disposeAndExit(exitCodes.failed);
	}
}

const program = new Command('jackdawfork-entry')
	.description('Accepts requests of callers and schedules them onto endpoints')
	.requiredOption('--settings <file>', 'settings of this process, JSON')
	.action(async ({settings}: {settings: string}) => {
		await runEntry(settings);
	});

await program.parseAsync();
