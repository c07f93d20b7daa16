import test from 'ava';
import {LengthEstimate} from '../../../src/gateway/scheduling/length-estimate.js';

test('learns how many events follow for each announced token', t => {
	const lengths = LengthEstimate.create();
	for (let stream = 0; stream < 300; stream++) {
		lengths.note(100, stream % 2 === 0 ? 30 : 50);
	}

	t.true(Math.abs(lengths.events(100) - 40) < 1);
});

test('a request that announces nothing, or nothing yet, counts as one event', t => {
	const lengths = LengthEstimate.create();
	lengths.note(0, 7);
	t.is(lengths.events(undefined), 1);
	t.is(lengths.events(0), 1);
});
