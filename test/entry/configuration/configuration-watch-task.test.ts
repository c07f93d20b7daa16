import {Writable} from 'node:stream';
import test, {type ExecutionContext} from 'ava';
import {ConfigurationInForce} from '../../../src/entry/configuration/configuration-in-force.js';
import {ConfigurationWatchTask, type ConfigurationMessage} from '../../../src/entry/configuration/configuration-watch-task.js';
import {PlatformError} from '../../../src/entry/platform/platform-error.js';
import type {ConfigurationSnapshot} from '../../../src/entry/platform/types.js';
import {digestOf} from '../../../src/shared/configuration/index.js';
import {Invariants} from '../../../src/shared/invariants.js';
import {createLogger} from '../../../src/shared/log.js';
import {Latch} from '../../fixtures/latch.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {documentFunctions} from './document-functions.js';

const output = new Writable({
	write(_chunk, _encoding, callback) {
		callback();
	},
});

type ScriptedResult = ConfigurationSnapshot | Error | undefined;

type Script = {
	readonly snapshots?: readonly ScriptedResult[];
	readonly watches?: readonly ScriptedResult[];
};

function snapshot(revision: number, base?: unknown): ConfigurationSnapshot {
	return {revision, base: base ?? {revision}, overlay: {}};
}

/** A configuration service that returns scripted results and leaves the call after the last result pending. */
class ScriptedService {
	static create(script: Script): ScriptedService {
		return new ScriptedService(script);
	}

	readonly calls: string[] = [];
	readonly finished = Latch.create();
	readonly #snapshots: ScriptedResult[];
	readonly #watches: ScriptedResult[];

	private constructor({snapshots = [], watches = []}: Script) {
		this.#snapshots = [...snapshots];
		this.#watches = [...watches];
	}

	async readSnapshot(signal: AbortSignal): Promise<ConfigurationSnapshot> {
		this.calls.push('snapshot');
		return (await this.#nextResult(this.#snapshots, signal))!;
	}

	async watch(after: number, signal: AbortSignal): Promise<ConfigurationSnapshot | undefined> {
		this.calls.push(`watch ${after}`);
		return this.#nextResult(this.#watches, signal);
	}

	async #nextResult(results: ScriptedResult[], signal: AbortSignal): Promise<ConfigurationSnapshot | undefined> {
		if (results.length === 0) {
			this.finished.release();
			return new Promise((_resolve, reject) => {
				signal.addEventListener('abort', () => {
					reject(PlatformError.create('aborted', 'test'));
				});
			});
		}

		const result = results.shift();
		if (result instanceof Error) {
			throw result;
		}

		return result;
	}
}

type TaskSetup = {
	readonly task: ConfigurationWatchTask;
	readonly service: ScriptedService;
	readonly posted: ConfigurationMessage[];
	readonly inForce: ConfigurationInForce;
	/** Number of backoff waits between reads. */
	readonly waitCount: () => number;
};

function createTask(t: ExecutionContext, script: Script): TaskSetup {
	const clock = ManualClock.create();
	let waitCount = 0;
	const service = ScriptedService.create(script);
	const posted: ConfigurationMessage[] = [];
	const inForce = ConfigurationInForce.create({
		site: 'site', clock, invariants: Invariants.create('throw'), ...documentFunctions,
	});
	const task = ConfigurationWatchTask.create({
		service,
		inForce,
		clock,
		logger: createLogger({name: 'test', output}),
		mailbox: {
			post(message) {
				posted.push(message);
			},
		},
		random() {
			waitCount++;
			return 0;
		},
	});
	t.teardown(async () => task.dispose());
	return {
		task, service, posted, inForce, waitCount: () => waitCount,
	};
}

/** Runs the task until all scripted results have been returned. */
async function runScript(t: ExecutionContext, script: Script): Promise<TaskSetup> {
	const setup = createTask(t, script);
	setup.task.start();
	// The task's own timers don't keep the process alive.
	const keepAlive = setInterval(() => undefined, 1000);
	await setup.service.finished.released;
	clearInterval(keepAlive);
	return setup;
}

function kindsOf(posted: readonly ConfigurationMessage[]): string[] {
	return posted.map(({kind}) => kind);
}

test('a snapshot is read first, then the service is watched from the version in force', async t => {
	const {service, posted, inForce} = await runScript(t, {snapshots: [snapshot(3)], watches: [snapshot(4), undefined, snapshot(7)]});
	t.deepEqual(service.calls, ['snapshot', 'watch 3', 'watch 4', 'watch 4', 'watch 7']);
	t.deepEqual(kindsOf(posted), ['configuration-changed', 'configuration-changed', 'configuration-changed']);
	t.like(posted.at(-1), {current: {version: 7}, difference: [{before: {revision: 4}, after: {revision: 7}}], source: 'service'});
	t.is(inForce.current()?.version, 7);
});

// Guards against losing the configuration during an outage of the configuration service.
test('the last known version stays in force while the service is unavailable, and its recovery is reported', async t => {
	const unreachable = PlatformError.create('unreachable', 'refused');
	const {posted, inForce, task, service} = await runScript(t, {snapshots: [snapshot(3), unreachable, PlatformError.create('status', '503'), snapshot(3)], watches: [unreachable]});
	t.is(inForce.current()?.version, 3);
	t.deepEqual(kindsOf(posted), ['configuration-changed', 'configuration-service-unavailable', 'configuration-service-unavailable', 'configuration-service-restored']);
	t.like(posted[2], {failureType: 'status', detail: 'status: 503'});
	t.deepEqual(service.calls, ['snapshot', 'watch 3', 'snapshot', 'snapshot', 'snapshot', 'watch 3']);
	t.true(task.status.isReachable);
});

// Guards against reporting a healthy service as unavailable because it holds watches for longer than the client waits.
test('a watch that times out is followed by a snapshot and does not count as a failure', async t => {
	const {posted, service} = await runScript(t, {snapshots: [snapshot(3), snapshot(4)], watches: [PlatformError.create('timeout', 'watch')]});
	t.deepEqual(service.calls, ['snapshot', 'watch 3', 'snapshot', 'watch 4']);
	t.deepEqual(kindsOf(posted), ['configuration-changed', 'configuration-changed']);
});

// Guards against adopting old versions from a service that was restored from an old backup.
test('lower versions of the service are ignored and each is reported once', async t => {
	const {posted, inForce} = await runScript(t, {snapshots: [snapshot(9)], watches: [snapshot(5), snapshot(5), snapshot(6), snapshot(10)]});
	t.deepEqual(kindsOf(posted), ['configuration-changed', 'configuration-backward', 'configuration-backward', 'configuration-changed']);
	t.deepEqual(posted[1], {
		kind: 'configuration-backward', version: 5, versionInForce: 9, source: 'service',
	});
	t.is(inForce.current()?.version, 10);
});

test('an invalid document is reported once with its problems and the next valid one is adopted', async t => {
	const invalid = snapshot(4, {isInvalid: true});
	const {posted, inForce} = await runScript(t, {snapshots: [snapshot(3)], watches: [invalid, invalid, snapshot(5)]});
	t.deepEqual(kindsOf(posted), ['configuration-changed', 'configuration-rejected', 'configuration-changed']);
	t.like(posted[1], {version: 4, source: 'service', problems: [{path: 'isInvalid'}]});
	t.is(inForce.current()?.version, 5);
});

test('after an invalid document at the start nothing is in force until a valid one is received', async t => {
	const {posted, service} = await runScript(t, {snapshots: [snapshot(3, {isInvalid: true}), snapshot(4)]});
	t.deepEqual(kindsOf(posted), ['configuration-rejected', 'configuration-changed']);
	t.deepEqual(service.calls, ['snapshot', 'snapshot', 'watch 4']);
});

// Guards against replacing a peer's version by an older one of the service.
test('a newer document from a peer comes into force and the service is watched from its version', async t => {
	const {task, posted, inForce, service} = createTask(t, {snapshots: [snapshot(3)]});
	t.is(task.offer({
		version: 8, base: {peer: true}, overlay: {}, source: 'entry-2',
	}).kind, 'adopted');
	task.start();
	await service.finished.released;
	t.deepEqual(service.calls, ['snapshot', 'watch 8']);
	t.deepEqual(kindsOf(posted), ['configuration-changed', 'configuration-backward']);
	t.like(posted[0], {source: 'entry-2', current: {version: 8}});
	t.is(inForce.current()?.version, 8);
	t.is(task.offer({
		version: 8, base: {peer: 'other'}, overlay: {}, source: 'entry-3',
	}).kind, 'conflict');
	t.deepEqual(posted.at(-1), {
		kind: 'configuration-conflict', version: 8, source: 'entry-3', digestInForce: digestOf({peer: true}, {}), otherDigest: digestOf({peer: 'other'}, {}),
	});
});

// Guards against a shutdown that waits until the configuration changes.
test('disposal ends a pending watch', async t => {
	const {task, service, posted} = await runScript(t, {snapshots: [snapshot(3)]});
	await task.dispose();
	t.deepEqual(service.calls, ['snapshot', 'watch 3']);
	t.deepEqual(kindsOf(posted), ['configuration-changed']);
});

// Guards against a tight loop when the service ends every watch immediately.
test('a watch that ends immediately without a change is followed by a backoff', async t => {
	const {service, waitCount} = await runScript(t, {snapshots: [snapshot(3)], watches: [undefined, snapshot(3), snapshot(2), snapshot(4)]});
	t.deepEqual(service.calls, ['snapshot', 'watch 3', 'watch 3', 'watch 3', 'watch 3', 'watch 4']);
	t.is(waitCount(), 3, 'only watches without a change are followed by a wait');
});
