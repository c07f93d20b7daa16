import test from 'ava';
import {Borrowing, type LenderCandidate} from '../../../src/entry/scheduler/borrowing.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

function createBorrowing(): Borrowing {
	let count = 0;
	return Borrowing.create(ManualClock.create(), request => {
		count++;
		return {...request, borrowId: `borrow-${count}`};
	});
}

function candidate(slot: string, change: Partial<LenderCandidate> = {}): LenderCandidate {
	return {
		slot, endpoint: 'engine-1', reportedFreeUnits: 0, ownedUnits: 2, wantedUnits: 1, missingUnits: 1, ...change,
	};
}

const demand = {service: 'assistant', tierRank: 1, waitingRequests: 3};

test('lenders with free units are asked first', t => {
	const planned = createBorrowing().planRequests({...demand, waitingRequests: 1}, [candidate('entry-2'), candidate('entry-3', {reportedFreeUnits: 4})]);
	t.deepEqual(planned.map(({lender}) => lender), ['entry-3']);
});

// Guards against a flood of borrow requests while many requests wait.
test('each lender is asked once for an endpoint, and borrow requests never outnumber waiting requests', t => {
	const borrowing = createBorrowing();
	const candidates = ['entry-2', 'entry-3', 'entry-4', 'entry-5'].map(slot => candidate(slot));
	t.is(borrowing.planRequests(demand, candidates).length, 3);
	t.is(borrowing.planRequests(demand, candidates).length, 0);
	t.is(borrowing.planRequests({...demand, waitingRequests: 100}, candidates).length, 1);
	t.is(borrowing.planRequests({...demand, waitingRequests: 100}, candidates).length, 0);
});

test('after a reply the lender can be asked again', t => {
	const borrowing = createBorrowing();
	const [first] = borrowing.planRequests({...demand, waitingRequests: 1}, [candidate('entry-2')]);
	t.is(borrowing.closeRequest(first!.request.borrowId), first);
	t.is(borrowing.closeRequest(first!.request.borrowId), undefined);
	t.is(borrowing.planRequests({...demand, waitingRequests: 1}, [candidate('entry-2')]).length, 1);
});

test('slots without units under the current limit are not asked', t => {
	t.deepEqual(createBorrowing().planRequests(demand, [candidate('entry-2', {ownedUnits: 0})]), []);
});

test('obsolete requests are removed and returned', t => {
	const borrowing = createBorrowing();
	borrowing.planRequests(demand, [candidate('entry-2'), candidate('entry-3')]);
	t.deepEqual(borrowing.cancel(({lender}) => lender === 'entry-2').map(({lender}) => lender), ['entry-2']);
	t.is(borrowing.size, 1);
});

// Guards against a large request that asks one lender after another: the first loans expire before the last lender has replied.
test('a request that needs units of several lenders asks them at once', t => {
	const borrowing = createBorrowing();
	const large = {wantedUnits: 2, missingUnits: 5};
	const candidates = [
		candidate('entry-2', large),
		candidate('entry-2', {...large, endpoint: 'engine-2', reportedFreeUnits: 4}),
		candidate('entry-3', large),
		candidate('entry-4', large),
		candidate('entry-5', large),
	];
	const planned = borrowing.planRequests({...demand, waitingRequests: 1}, candidates);
	t.deepEqual(planned.map(({lender, request}) => [lender, request.endpoint]), [['entry-2', 'engine-1'], ['entry-3', 'engine-1'], ['entry-4', 'engine-1']]);
	t.deepEqual(borrowing.planRequests({...demand, waitingRequests: 1}, candidates), []);

	// One lender has granted its units, and the other borrow requests cover the rest.
	borrowing.closeRequest(planned[0]!.request.borrowId);
	t.deepEqual(borrowing.planRequests({...demand, waitingRequests: 0}, candidates.map(other => ({...other, missingUnits: 3}))), []);
});
