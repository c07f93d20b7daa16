import test from 'ava';
import {RetryBudgets} from '../../../src/gateway/limits/retry-budgets.js';
import {bounds} from '../../fixtures/gateway/documents.js';

test('the retries of all instances stay below the bound', t => {
	const memberCount = 7;
	let retries = 0;
	const requestsEach = 100;
	for (let member = 0; member < memberCount; member++) {
		const budgets = RetryBudgets.create(bounds);
		for (let request = 0; request < requestsEach; request++) {
			budgets.recordRequest('diary', request * 10);
			retries += budgets.tryTake('diary', memberCount, request * 10) ? 1 : 0;
		}
	}

	t.true(retries <= (bounds.retryRatio * memberCount * requestsEach) + bounds.retryExtra);
	t.true(retries > 0);
});

test('retries are counted for each service and expire after the window', t => {
	const budgets = RetryBudgets.create({...bounds, retryRatio: 0, retryExtra: 10});
	let taken = 0;
	while (budgets.tryTake('diary', 1, 0)) {
		taken++;
	}

	t.is(taken, 7);
	t.true(budgets.tryTake('assistant', 1, 0));
	t.true(budgets.tryTake('diary', 1, bounds.retryWindowMs + 1000));
});
