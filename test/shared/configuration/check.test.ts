import test from 'ava';
import fc from 'fast-check';
import {formatProblem, mergeOverlay} from '../../../src/shared/configuration/index.js';
import {
	configurationOf, problemsOf, readExample, readMergedExample, type DocumentChange,
} from '../../fixtures/example-document.js';

test('a valid document gets all defaults', t => {
	const configuration = configurationOf(readMergedExample('karoo'));
	t.is(configuration.policy.heartbeatMilliseconds, 400);
	t.is(configuration.policy.leaseMilliseconds, 2000);
	t.is(configuration.entrySlots['entry-1']?.state, 'in');
});

const listSlotsOperation = {method: 'GET', pathPrefix: '/slots', idempotent: true};

// Each case guards against a document that looks valid but violates an assumption of the scheduler.
// The path of the problem is that of the change unless another one is given.
const brokenRules: ReadonlyArray<readonly [rule: string, change: DocumentChange, expected: RegExp, problemPath?: string]> = [
	['an endpoint in an unknown availability zone', ['endpoints/assistant-1/availabilityZone', 'nowhere'], /^one of scotland-a, scotland-b, scotland-c, scotland-d$/v],
	['a zone with the name of a member that every object inherits', ['endpoints/assistant-1/availabilityZone', 'constructor'], /^one of scotland-a/v],
	['an entry slot in an unknown availability zone', ['entrySlots/entry-7/availabilityZone', 'nowhere'], /^one of scotland-a/v],
	['an endpoint of an unknown service', ['endpoints/diary-1/service', 'calendar'], /^one of assistant, diary$/v],
	['an availability zone in an unknown region', ['availabilityZones/scotland-a/region', 'wales'], /^one of scotland$/v],
	['a workspace with an unknown highest tier', ['workspaces/fife/highestTier', 'gold'], /^one of booking, interview, plan, letters$/v],
	['a workspace with an unknown default tier', ['workspaces/fife/defaultTier', 'gold'], /^one of booking/v],
	['a default tier above the highest tier', ['workspaces/head-office/defaultTier', 'booking'], /not above highestTier, which is interview$/v],
	['two tiers with one rank', ['tiers/letters/rank', 2], /no other tier has/v],
	['a first token bound above the answer bound', ['tiers/plan/firstTokenMilliseconds', 50_000], /^at most answerMilliseconds, which is 45000$/v],
	['more cold units than units', ['endpoints/diary-2/limit/coldUnits', 9], /^at most units, which is 8$/v],
	['an address used twice', ['endpoints/diary-4/address', '127.0.0.1:21101'], /no other endpoint has/v],
	['a plain service without operations', ['services/diary/operations', []], /^at least 1 element/v],
	['a plain service whose operations are missing', ['services/diary/operations', undefined], /^an array$/v],
	['one operation listed twice', ['services/diary/operations', [listSlotsOperation, listSlotsOperation]], /no other operation/v, '/services/diary/operations/1'],
	['one model name for two services', ['services/second', {kind: 'engine', models: ['casefile-assistant']}], /no other service has/v, '/services/second/models/0'],
	['an unknown kind of service', ['services/diary/kind', 'diary'], /^one of engine, plain$/v],
	['a lease shorter than three heartbeats', ['policy/leaseMilliseconds', 1199], /^at least 1200, which is 3 heartbeats$/v],
	['a heartbeat too long for the default lease', ['policy/heartbeatMilliseconds', 700], /^at least 2100/v, '/policy/leaseMilliseconds'],
	['no entry slot', ['entrySlots', {}], /^at least one member$/v],
	['a region listed twice', ['regions', ['scotland', 'scotland']], /not listed before/v, '/regions/1'],
	['a name with capital letters', ['workspaces/Fife', {highestTier: 'plan', defaultTier: 'plan'}], /lower-case/v],
	['a misspelt field', ['policy/leaseMiliseconds', 2000], /^no field of this name$/v],
	['a field with the name of a prototype member', ['policy', JSON.parse('{"__proto__": {}}')], /^no field of this name$/v, '/policy/__proto__'],
	['a limit that is not a whole number', ['endpoints/diary-1/limit/units', 2.5], /^a whole number$/v],
	['an address with a host name', ['endpoints/diary-1/address', 'localhost:8000'], /IPv4/v],
	['an address with a number above 255', ['endpoints/diary-1/address', '127.0.0.256:8000'], /IPv4/v],
	['a port above 65535', ['endpoints/diary-1/address', '127.0.0.1:65536'], /IPv4/v],
];

for (const [rule, change, expected, problemPath] of brokenRules) {
	test(`a document is refused for ${rule}`, t => {
		const problems = problemsOf(readMergedExample('clachan', [change]));
		t.deepEqual(problems.map(problem => problem.path), [problemPath ?? `/${change[0]}`]);
		t.regex(problems[0]!.expected, expected);
	});
}

// Guards against reporting only the first problem, so that the operator has to fix a document in several rounds.
test('all schema and cross-field problems are reported together, with the values that were found', t => {
	const changes: readonly DocumentChange[] = [
		['site', 7],
		['endpoints/assistant-1/limit/units', 'many'],
		['workspaces/fife/defaultTier', undefined],
		['endpoints/assistant-1/availabilityZone', 'nowhere'],
		['workspaces/fife/highestTier', 'gold'],
		['tiers/plan/rank', 1],
		['endpoints/assistant-2/limit/coldUnits', 99],
	];
	const problems = problemsOf(readMergedExample('clachan', changes));
	t.deepEqual(
		problems.map(({path, value}) => JSON.stringify([path, value])).toSorted(),
		changes.map(([path, value]) => JSON.stringify([`/${path}`, value])).toSorted(),
	);
});

// Guards against a problem that names the wrong file.
test('a problem names the overlay where the overlay sets the value, else the base', t => {
	const base = readExample('clachan', 'base', [['tiers/plan/firstTokenMilliseconds', -1]]);
	const overlay = readExample('clachan', 'overlay', [['endpoints/diary-1/service', 'calendar']]);
	const problems = problemsOf(mergeOverlay(base, overlay), {file: 'base.json', overlay: {file: 'overlay.json', document: overlay}});
	t.deepEqual(problems.map(({file, path}) => [file, path]), [
		['base.json', '/tiers/plan/firstTokenMilliseconds'],
		['overlay.json', '/endpoints/diary-1/service'],
	]);
});

// Guards against an entry that crashes on a document from the configuration service.
test('a document of any structure results in problems, not in an exception', t => {
	const sections = fc.constantFrom('site', 'regions', 'availabilityZones', 'tiers', 'services', 'endpoints', 'entrySlots', 'workspaces', 'policy');
	const documents = fc.oneof(fc.jsonValue(), fc.dictionary(sections, fc.oneof(fc.jsonValue(), fc.dictionary(fc.string(), fc.jsonValue()))));
	fc.assert(fc.property(documents, document => {
		const problems = problemsOf(document, {file: 'any.json'});
		t.true(problems.length > 0);
		t.true(problems.every(problem => formatProblem(problem).startsWith('any.json: ')));
	}));
});

test('a problem is printed as one line with file, path, value and what is expected', t => {
	t.is(
		formatProblem({
			file: 'base.json', path: '/tiers/a/rank', value: -1, expected: 'at least 0',
		}),
		'base.json: /tiers/a/rank: found -1, expected at least 0',
	);
	t.is(formatProblem({file: 'base.json', path: '', expected: 'an object'}), 'base.json: /: found nothing, expected an object');
});
