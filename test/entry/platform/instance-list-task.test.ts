import {Writable} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {InstanceListTask, type InstanceListMessage} from '../../../src/entry/platform/instance-list-task.js';
import {PlatformError} from '../../../src/entry/platform/platform-error.js';
import type {InstanceListing} from '../../../src/entry/platform/types.js';
import {createLogger} from '../../../src/shared/log.js';
import {Latch} from '../../fixtures/latch.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

const output = new Writable({
	write(_chunk, _encoding, callback) {
		callback();
	},
});

/** Runs the task until it has read all scripted results, and returns the messages that it posted. */
async function runScript(t: ExecutionContext, script: ReadonlyArray<InstanceListing | Error>): Promise<{task: InstanceListTask; posted: InstanceListMessage[]}> {
	const results = [...script];
	const posted: InstanceListMessage[] = [];
	const done = Latch.create();
	const task = InstanceListTask.create({
		instanceList: {
			async readListing(signal) {
				const result = results.shift();
				if (result instanceof Error) {
					throw result;
				}

				if (result === undefined) {
					done.release();
					return new Promise((_resolve, reject) => {
						signal.addEventListener('abort', () => {
							reject(PlatformError.create('aborted', 'test'));
						});
					});
				}

				return result;
			},
		},
		clock: ManualClock.create(),
		logger: createLogger({name: 'test', output}),
		mailbox: {
			post(message) {
				posted.push(message);
			},
		},
		pollIntervalMs: 1,
		random: () => 0,
	});
	t.teardown(async () => task.dispose());
	task.start();
	// The task's own timers don't keep the process alive.
	const keepAlive = setInterval(() => undefined, 1000);
	await done.released;
	clearInterval(keepAlive);
	await nextTurn();
	return {task, posted};
}

const first: InstanceListing = {revision: 5, instances: []};
const second: InstanceListing = {
	revision: 6, instances: [{
		name: 'a', role: 'entry', state: 'live', availabilityZone: 'z', addresses: {},
	}],
};

test('each new revision is posted once', async t => {
	const {task, posted} = await runScript(t, [first, first, second, second]);
	t.deepEqual(posted, [{kind: 'instance-list-changed', listing: first}, {kind: 'instance-list-changed', listing: second}]);
	t.is(task.listing, second);
});

// Guards against a leaving instance that becomes live again because an outdated replica responded.
test('a lower revision is ignored and reported once', async t => {
	const {task, posted} = await runScript(t, [second, first, first, second]);
	t.deepEqual(posted.map(({kind}) => kind), ['instance-list-changed', 'instance-list-backward']);
	t.deepEqual(posted[1], {kind: 'instance-list-backward', revision: 5, lastRevision: 6});
	t.is(task.listing, second);
});

// Guards against losing the peers while the list is unavailable, and against a log line for each attempt.
test('the last listing is kept while the service fails, and each type of failure is reported once', async t => {
	const unreachable = PlatformError.create('unreachable', 'refused');
	const {task, posted} = await runScript(t, [first, unreachable, unreachable, PlatformError.create('malformed', 'nonsense'), first]);
	t.deepEqual(posted.slice(1), [
		{kind: 'instance-list-unavailable', failureType: 'unreachable', detail: 'unreachable: refused'},
		{kind: 'instance-list-unavailable', failureType: 'malformed', detail: 'malformed: nonsense'},
		{kind: 'instance-list-restored', failures: 3},
	]);
	t.is(task.listing, first);
	t.true(task.status.isReachable);
});
