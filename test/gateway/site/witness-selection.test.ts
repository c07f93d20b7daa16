import test from 'ava';
import {selectWitnesses} from '../../../src/gateway/site/witness-selection.js';

const fleet = ['10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4', '10.0.0.5'];

test('an instance never asks itself, and none twice', t => {
	for (const random of [() => 0, () => 0.5, () => 0.999]) {
		const witnesses = selectWitnesses('10.0.0.1', fleet, fleet, random);
		t.is(new Set(witnesses).size, 3);
		t.false(witnesses.includes('10.0.0.1'));
	}
});

// Guards against an instance that was cut off from all others and finds nobody to ask when it is back.
test('an instance that hears no other asks those that it heard before', t => {
	t.is(selectWitnesses('10.0.0.1', [], fleet, () => 0).length, 3);
	t.deepEqual(selectWitnesses('10.0.0.1', [], ['10.0.0.1'], () => 0), []);
});

// Guards against a zone that was cut off from the store and asks only itself.
test('an instance of a large fleet also asks outside of its zone', t => {
	const zone = ['10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4'];
	const others = Array.from({length: 20}, (_, index) => `10.1.0.${index}`);
	t.true(selectWitnesses('10.0.0.1', zone, [...zone, ...others], () => 0.9).some(host => others.includes(host)));
});
