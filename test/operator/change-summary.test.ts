import test from 'ava';
import {describeChange} from '../../src/operator/change-summary.js';
import {configurationOf, readMergedExample, type DocumentChange} from '../fixtures/example-document.js';

const before = configurationOf(readMergedExample('clachan'));

/** The statements about a change of the Clachan example; warnings start with `!`. */
function statementsAfter(...changes: readonly DocumentChange[]): string[] {
	return describeChange(before, configurationOf(readMergedExample('clachan', changes))).map(({severity, text}) => severity === 'warning' ? `! ${text}` : text);
}

const newEndpoint = {
	service: 'diary', address: '127.0.0.1:29999', availabilityZone: 'scotland-a', limit: {units: 8, coldUnits: 2},
};

// Each case guards against a change whose effect the operator can't see from the values alone.
const cases: ReadonlyArray<readonly [title: string, changes: readonly DocumentChange[], statements: readonly string[]]> = [
	['no change', [], []],
	['an endpoint taken out of service', [['endpoints/diary-1/state', 'out']], [
		'takes endpoint diary-1 out of service',
		'service diary has 3 endpoints and 24 units in service, before 4 and 32',
	]],
	['a service that loses its last endpoint', [
		['endpoints/diary-1/state', 'out'],
		['endpoints/diary-2/state', 'out'],
		['endpoints/diary-3/state', 'out'],
		['availabilityZones/scotland-d/state', 'out'],
	], [
		'takes availability zone scotland-d with 3 endpoints (assistant-6, assistant-8, diary-4) and 1 entry slot (entry-4) out of service',
		'takes endpoint diary-1 out of service',
		'takes endpoint diary-2 out of service',
		'takes endpoint diary-3 out of service',
		'service assistant has 6 endpoints and 146 units in service, before 8 and 176',
		'! service diary has 0 endpoints and 0 units in service, before 4 and 32: all requests for it are refused as no-endpoint',
	]],
	['an added endpoint', [['endpoints/diary-5', newEndpoint]], [
		'service diary has 5 endpoints and 40 units in service, before 4 and 32',
		'adds endpoint diary-5 of service diary in availability zone scotland-a',
	]],
	['a moved endpoint', [['endpoints/diary-1/address', '127.0.0.1:29999']], ['changes address of endpoint diary-1 from "127.0.0.1:21201" to "127.0.0.1:29999"']],
	['a removed entry slot', [['entrySlots/entry-7', undefined]], [
		'removes entry slot entry-7; a process that runs as it stops serving',
		'! moves units between entry slots; moved units stay unused for a lease, a loan and the request timeout of their endpoint',
	]],
	['a drained entry slot', [['entrySlots/entry-7/state', 'out']], ['takes entry slot entry-7 out of service']],
	['a removed workspace', [['workspaces/fife', undefined]], ['! removes workspace fife; its requests are refused as unknown-workspace']],
	['a changed weight', [['workspaces/fife/weight', 2]], ['changes weight of workspace fife from 1 to 2']],
	['an added tier', [['tiers/bulk', {...before.tiers.letters, rank: 4}]], ['adds tier bulk with rank 4']],
	['swapped ranks', [['tiers/plan/rank', 3], ['tiers/letters/rank', 2]], ['changes rank of tier plan from 2 to 3', 'changes rank of tier letters from 3 to 2']],
	['a longer lease', [['policy/leaseMilliseconds', 3000]], ['changes leaseMilliseconds of policy from 2000 to 3000']],
	['another site', [['site', 'karoo']], ['! changes the site from clachan to karoo; the settings of running entries keep clachan']],
];

for (const [title, changes, statements] of cases) {
	test(`the summary describes ${title}`, t => {
		t.deepEqual(statementsAfter(...changes), [...statements]);
	});
}

test('the summary describes an availability zone that returns to service', t => {
	const out = configurationOf(readMergedExample('clachan', [['availabilityZones/scotland-d/state', 'out']]));
	t.deepEqual(describeChange(out, before).map(statement => statement.text), [
		'returns availability zone scotland-d with 3 endpoints (assistant-6, assistant-8, diary-4) and 1 entry slot (entry-4) to service',
		'service assistant has 8 endpoints and 176 units in service, before 6 and 146',
		'service diary has 4 endpoints and 32 units in service, before 3 and 24',
	]);
});

// Guards against taking every entry of a region out of service without a warning.
test('the summary warns when a region is left without an entry slot in service', t => {
	const changes = ['a', 'b', 'c', 'd'].map(letter => [`availabilityZones/scotland-${letter}/state`, 'out'] as const);
	t.true(statementsAfter(...changes).includes('! leaves region scotland without an entry slot in service: all requests there are refused'));
});
