import test from 'ava';
import {RetryBudget} from '../../../src/entry/scheduler/retry-budget.js';

// Guards against retries that double the load on a service that fails everything.
test('retries are limited to the ratio of the requests', t => {
	const budget = RetryBudget.create();
	let retries = 0;
	for (let request = 0; request < 1000; request++) {
		budget.recordRequest(0.1);
		retries += budget.tryTake() ? 1 : 0;
	}

	t.is(retries, 100);
});

// Guards against a long time without failures that accumulates more retries than a failing service can bear.
test('at most ten unused retries accumulate', t => {
	const budget = RetryBudget.create();
	for (let request = 0; request < 1000; request++) {
		budget.recordRequest(0.1);
	}

	let retries = 0;
	while (budget.tryTake()) {
		retries++;
	}

	t.is(retries, 10);
});
