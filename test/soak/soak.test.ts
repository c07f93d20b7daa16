import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {runSoak} from '../../soak/soak.js';
import {testSeed} from '../fixtures/seed.js';

/** Phases with planned changes only and phases with all faults, 12 s each. */
const durationMs = 60_000;

test('gateway processes keep all guarantees under random faults', async t => {
	const directory = await mkdtemp(path.join(tmpdir(), 'jackdawfork-soak-'));
	const seed = testSeed();
	t.log(`seed ${seed}, logs in ${directory}`);
	const {violations} = await runSoak({
		seed, durationMs, instances: 3, callers: 10, directory,
	});
	t.deepEqual(violations, []);
	await rm(directory, {recursive: true});
});
