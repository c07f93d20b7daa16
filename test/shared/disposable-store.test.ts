import test from 'ava';
import {DisposableStore} from '../../src/shared/disposable-store.js';

// Guards against releasing a resource while another one still depends on it.
test('disposables are released in reverse order of registration', async t => {
	const released: string[] = [];
	const store = DisposableStore.create();
	store.defer(() => {
		released.push('first');
	});
	store.defer(() => {
		released.push('second');
	});
	await store.dispose();
	t.deepEqual(released, ['second', 'first']);
});

// Guards against a leak: when one clean-up throws, the remaining resources must still be released.
test('a failing clean-up does not prevent the others from running', async t => {
	let isReleased = false;
	const store = DisposableStore.create();
	store.defer(() => {
		isReleased = true;
	});
	store.defer(() => {
		throw new Error('socket is already closed');
	});
	await t.throwsAsync(store.dispose(), {instanceOf: AggregateError});
	t.true(isReleased);
});

test('a disposable registered after disposal is released immediately', async t => {
	const store = DisposableStore.create();
	await store.dispose();
	let isReleased = false;
	store.defer(() => {
		isReleased = true;
	});
	t.true(isReleased);
});
