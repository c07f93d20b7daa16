#!/usr/bin/env node
// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- signal handlers must be installed before anything else is loaded
import './early-signals.js';
import process from 'node:process';
import {Writable} from 'node:stream';
import {Command} from 'commander';
import {
	platformProtocol, readSettings, settingsVariable, StoreClient,
} from '../../platform/index.js';
import {SystemClock, type Milliseconds} from '../shared/clock.js';
import {describeError} from '../shared/describe-error.js';
import {createLogger} from '../shared/log.js';
import {GatewayProcess} from './gateway-process.js';
import {EventLog} from './observability/event-log.js';
import {LogOutput} from './observability/log-output.js';
import type {InstanceSettings} from './settings.js';
import {SuspensionClock} from './site/suspension-clock.js';
import {logUnexpectedErrors} from './unexpected-errors.js';

const exitCodes = {
	stopped: 0,
	failed: 1,
	invalidSettings: 2,
} as const;

/** Interval of the checks of the settings file, which may change without a signal. */
const settingsCheckIntervalMs: Milliseconds = 3000;

const standardOutput = 1;

function readSettingsOrExit(path: string): InstanceSettings {
	try {
		return readSettings(path);
	} catch (error) {
		process.stderr.write(`jackdawfork-gateway: settings ${path}: ${describeError(error)}\n`);
		process.exit(exitCodes.invalidSettings);
	}
}

async function run(path: string): Promise<void> {
	const settings = readSettingsOrExit(path);
	const clock = SystemClock.create();
	const output = LogOutput.create(standardOutput);
	const logger = createLogger({
		name: 'jackdawfork-gateway',
		output: new Writable({
			decodeStrings: false,
			write(line: string, _encoding, callback) {
				output.write(line);
				callback();
			},
		}),
		fields: {instance: settings.instanceName},
	});
	const log = EventLog.create(logger, clock);
	logUnexpectedErrors(process, log);
	const source = StoreClient.create(settings.storeAddress);
	const gateway = GatewayProcess.create({
		settings, clock, freshnessClock: SuspensionClock.create(clock), log, protocol: platformProtocol, source,
	});
	let lastSettings = JSON.stringify(settings);
	const reload = () => {
		try {
			const changed = readSettings(path);
			if (JSON.stringify(changed) !== lastSettings) {
				lastSettings = JSON.stringify(changed);
				gateway.reload(changed);
			}
		} catch (error) {
			log.event('reload-failed', {reason: describeError(error)});
		}
	};

	const stop = async () => {
		await gateway.stop();
		await output.flush();
		process.exit(exitCodes.stopped);
	};

	process.on('SIGHUP', reload);
	setInterval(reload, settingsCheckIntervalMs).unref();
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void stop();
		});
	}

	try {
		await gateway.start();
	} catch (error) {
		log.event('start-failed', {reason: describeError(error)});
		await output.flush();
		process.exit(exitCodes.failed);
	}
}

const program = new Command('jackdawfork-gateway')
	.description('Accepts callers of the platform and schedules their requests onto endpoints')
	.option('--settings <file>', `settings of this process, JSON (default: the file that ${settingsVariable} names)`)
	.action(async ({settings}: {settings?: string}) => {
		const path = settings ?? process.env[settingsVariable];
		if (path === undefined) {
			process.stderr.write(`jackdawfork-gateway: neither --settings nor ${settingsVariable} names a settings file\n`);
			process.exit(exitCodes.invalidSettings);
		}

		await run(path);
	});

await program.parseAsync();
