import test from 'ava';
import {claimSlice, findFreePort} from '../../../standins/fleet/ports.js';

// Guards against a process of one test that can't bind its port, because a test beside it has chosen the same port and bound it first.
test('threads and processes that prefer the same ports choose from different slices', async t => {
	const preferred = 3;
	const slices = await Promise.all(Array.from({length: 4}, async () => claimSlice(preferred)));
	t.is(new Set(slices).size, slices.length);
});

test('a port is not returned again soon', async t => {
	const ports: number[] = [];
	for (let count = 0; count < 50; count++) {
		// eslint-disable-next-line no-await-in-loop
		ports.push(await findFreePort());
	}

	t.is(new Set(ports).size, ports.length);
});
