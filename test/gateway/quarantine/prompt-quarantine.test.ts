import test from 'ava';
import {PromptQuarantine, type QuarantineChange} from '../../../src/gateway/quarantine/prompt-quarantine.js';
import type {EndpointCrash} from '../../../src/gateway/quarantine/types.js';

const minute = 60_000;

function createQuarantine(ownHost = '10.0.0.1', members: readonly string[] = [ownHost]) {
	const changes: QuarantineChange[] = [];
	const quarantine = PromptQuarantine.create({
		ownHost,
		members: () => members,
		knowsMembers: () => true,
		onChanges(added) {
			changes.push(...added);
		},
		onEvidence: () => undefined,
	});
	return {quarantine, changes};
}

/** Requests of another instance with which crashes are compared. */
const manySurvived = Object.fromEntries([['10.0.0.9', {survived: 20, crashed: 0}]]);

function createCrash(at: number, parts: readonly string[] = [`first-${at}`, 'bad']): EndpointCrash {
	return {
		endpointId: `engine-${at}`, startedAt: 1, at, suspects: [parts], comparisons: manySurvived,
	};
}

function crash(quarantine: PromptQuarantine, ...times: readonly number[]): void {
	for (const at of times) {
		quarantine.recordCrash(createCrash(at));
	}
}

test('requests with a convicted part are withheld, and those that share the other parts are not', t => {
	const {quarantine, changes} = createQuarantine();
	crash(quarantine, 0, 1000, 2000);
	t.is(quarantine.withhold(['first-0', 'bad'], 2000), undefined);
	crash(quarantine, 3000);
	t.true(quarantine.withhold(['first', 'bad'], 3000)! > minute);
	t.true(quarantine.withholdAdmitted(['bad'], 3000)! > minute);
	t.is(quarantine.withhold(['first-0', 'middle'], 3000), undefined);
	t.is(quarantine.withhold([], 3000), undefined);
	t.is(changes.length, 1);
	t.like(changes[0], {kind: 'parts-quarantined', entry: {parts: ['bad'], crashCount: 4, withheldCount: 2}});
});

test('a request with the part that survives, here or elsewhere, releases it', t => {
	const {quarantine, changes} = createQuarantine();
	crash(quarantine, 0, 1000, 2000, 3000);
	quarantine.recordSurvival(['first', 'bad'], 3100);
	t.is(quarantine.withhold(['bad'], 3200), undefined);
	t.like(changes[1], {kind: 'parts-released', reason: 'survived'});
	// A part with a survival needs more crashes.
	crash(quarantine, ...Array.from({length: 10}, (_, index) => 4000 + (index * 500)));
	t.not(quarantine.withhold(['bad'], 9000), undefined);
	quarantine.receive({crashes: [], survivals: [{part: 'bad', at: 9100}], convictions: []}, 9200);
	t.is(quarantine.withhold(['bad'], 9300), undefined);
});

test('after the hold time one of all instances sends one request as a trial, and a crash starts a longer hold', t => {
	const hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4', '10.0.0.5'];
	const quarantines = hosts.map(host => createQuarantine(host, hosts).quarantine);
	for (const quarantine of quarantines) {
		crash(quarantine, 0, 1000, 2000, 3000);
	}

	let crashAt = 3000;
	let trials = 0;
	const trialsAt: number[] = [];
	for (let now = 3000; now < 200 * minute; now += 1000) {
		const sent = quarantines.filter(quarantine => quarantine.withhold(['bad'], now) === undefined);
		trials += sent.length;
		if (sent.length > 0) {
			crashAt = now + 100;
			trialsAt.push(Math.round(now / minute));
			for (const quarantine of quarantines) {
				crash(quarantine, crashAt);
			}
		}
	}

	t.is(trials, trialsAt.length, 'never two at once');
	t.true(trials >= 4 && trials <= 8, `trials after ${trialsAt.join(', ')} minutes`);
});

test('parts that nobody has sent for a long time are forgotten', t => {
	const {quarantine, changes} = createQuarantine('10.0.0.1', ['10.0.0.1', '10.0.0.2', '10.0.0.3']);
	crash(quarantine, 0, 1000, 2000, 3000);
	quarantine.expire(9 * minute);
	t.is(quarantine.entries().length, 1);
	quarantine.expire(11 * minute);
	t.like(changes.at(-1), {kind: 'parts-released', reason: 'expired'});
	t.deepEqual(quarantine.evidence().crashes, []);
});

test('an instance that receives the evidence of another one draws the same conclusions', t => {
	const {quarantine} = createQuarantine();
	crash(quarantine, 0, 1000, 2000, 3000, ...Array.from({length: 40}, (_, index) => 4000 + (index * 200)));
	t.true(quarantine.evidence().crashes.length <= 12, `${quarantine.evidence().crashes.length} crashes are kept`);
	const {quarantine: other} = createQuarantine();
	other.receive(quarantine.evidence(), 13_000);
	t.not(other.withhold(['bad'], 13_000), undefined);
	t.is(other.withhold(['first-0'], 13_000), undefined);
	t.is(other.entries()[0]!.firstCrashAt, 0);
});

test('a survival that only one instance saw reaches those that count crashes', t => {
	const {quarantine: other} = createQuarantine('10.0.0.2');
	const quarantine = PromptQuarantine.create({
		ownHost: '10.0.0.1',
		members: () => [],
		knowsMembers: () => true,
		onChanges: () => undefined,
		onEvidence(evidence) {
			other.receive(evidence, 0);
		},
	});
	const receiveBoth = (at: number) => {
		other.recordCrash(createCrash(at, ['rare']));
		quarantine.receive({crashes: [createCrash(at, ['rare'])], survivals: [], convictions: []}, at);
	};

	receiveBoth(0);
	quarantine.recordSurvival(['rare'], 500);
	receiveBoth(1000);
	receiveBoth(2000);
	quarantine.recordSurvival(['rare'], 2500);
	receiveBoth(3000);
	receiveBoth(4000);
	receiveBoth(5000);
	t.is(other.withhold(['rare'], 5000), undefined);
});

test('the evidence stays bounded while callers choose ever new parts', t => {
	const {quarantine} = createQuarantine();
	for (let index = 0; index < 2000; index++) {
		quarantine.recordSurvival(Array.from({length: 16}, (_, part) => `survived-${index}-${part}`), index * 100);
		quarantine.recordCrash(createCrash(index * 100, Array.from({length: 16}, (_, part) => `part-${index}-${part}`)));
	}

	const {crashes, survivals} = quarantine.evidence();
	t.true(crashes.length <= 65, `${crashes.length} crashes`);
	t.true(survivals.length <= 65 * 16);
});
