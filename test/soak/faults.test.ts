import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import test from 'ava';
import {plannedFaults} from '../../soak/faults.js';
import type {Instance, SoakSite} from '../../soak/site.js';
import {RandomSource} from '../../standins/random-source.js';

// Guards against SIGHUP to a process that has just replaced the one that was checked, and ends by the signal before it can handle it.
test('SIGHUP goes to the process that was seen to handle it', async t => {
	const child = spawn(process.execPath, ['-e', 'process.on("SIGHUP", () => {}); setInterval(() => {}, 1000); console.log("ready");'], {stdio: ['ignore', 'pipe', 'inherit']});
	t.teardown(() => child.kill('SIGKILL'));
	await once(child.stdout, 'data');
	const signalled: string[] = [];
	const createProcess = (name: string) => ({
		pid: child.pid, isRunning: true, signal() {
			signalled.push(name);
		},
	}) as unknown as Instance['process'];
	const instance: Pick<Instance, 'host' | 'process'> = {host: 'i1', process: createProcess('checked')};
	const site = {
		instances: [instance],
		hangUp({process: target}: Pick<Instance, 'process'>) {
			target.signal('SIGHUP');
		},
	} as unknown as SoakSite;
	const done = plannedFaults.hangUp(site, RandomSource.create(1));
	instance.process = createProcess('replacement');
	await done;
	t.deepEqual(signalled, ['checked']);
});
