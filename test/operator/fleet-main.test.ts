import test, {type ExecutionContext} from 'ava';
import {exitCodes} from '../../src/operator/exit-codes.js';
import type {AuditEntry} from '../../src/shared/audit.js';
import type {StatusReport} from '../../src/shared/status.js';
import {FakeOperatorServer} from '../fixtures/fake-operator-server.js';
import {runBinary} from '../fixtures/run-binary.js';
import {createStatusReport} from '../fixtures/status-report.js';

/** Three entries of one lease group; each is reachable and reports the other two as peers. */
type FakeFleet = {
	readonly servers: readonly [FakeOperatorServer, FakeOperatorServer, FakeOperatorServer];
	/** Address of the first entry, through which the others are found. */
	readonly address: string;
	/** Creates the status report of the entry at an index. */
	report(index: number, overrides?: Partial<StatusReport>): StatusReport;
};

const slots = ['entry-1', 'entry-2', 'entry-3'];

async function startServer(t: ExecutionContext): Promise<FakeOperatorServer> {
	const server = await FakeOperatorServer.start();
	t.teardown(async () => server.dispose());
	return server;
}

async function startFleet(t: ExecutionContext): Promise<FakeFleet> {
	const servers = await Promise.all([startServer(t), startServer(t), startServer(t)]);
	const report = (index: number, overrides: Partial<StatusReport> = {}): StatusReport => createStatusReport({
		slot: slots[index]!,
		incarnation: `incarnation-${index + 1}`,
		operatorAddress: servers[index]!.address,
		lease: {
			isHeld: true, remainingMilliseconds: 1800, lostCount: 0, groupSlots: slots,
		},
		peers: slots.flatMap((slot, peerIndex) => peerIndex === index
			? []
			: [{
				slot, region: 'scotland', operatorAddress: servers[peerIndex]!.address, configurationVersion: 7, isReachable: true, isLeaving: false,
			}]),
		...overrides,
	});
	for (const [index, server] of servers.entries()) {
		server.status = () => report(index);
		server.audit = () => ({
			slot: slots[index]!, incarnation: `incarnation-${index + 1}`, entries: [], next: 0,
		});
	}

	return {servers, address: servers[0].address, report};
}

function withVersion(version: number, digest = '0123456789abcdef'): Partial<StatusReport> {
	return {
		configuration: {
			version, digest, source: 'configuration-service', inForceMilliseconds: 100,
		},
	};
}

type StatusResult = {
	readonly entries: ReadonlyArray<{readonly address: string; readonly report: StatusReport}>;
	readonly unreachable: ReadonlyArray<{readonly address: string; readonly type: string}>;
	readonly problems: ReadonlyArray<{readonly type: string; readonly subject: string; readonly detail: string; readonly seenBy: readonly string[]}>;
};

async function readStatus(...parameters: readonly string[]): Promise<{exitCode: number; result: StatusResult}> {
	const {exitCode, stdout} = await runBinary('fleet-main', 'status', '--json', ...parameters);
	return {exitCode, result: JSON.parse(stdout) as StatusResult};
}

function problemNames(result: StatusResult): string[] {
	return result.problems.map(({type, subject}) => `${type} ${subject}`).toSorted();
}

// Guards against a status that covers only the entries that the operator listed.
test('status finds the other entries through the peers of the listed one', async t => {
	const {address} = await startFleet(t);
	const {exitCode, result} = await readStatus('--entry', address);
	t.is(exitCode, exitCodes.ok);
	t.deepEqual(result.entries.map(entry => entry.report.slot), slots);
	t.deepEqual(result.problems, []);
});

test('status prints text tables', async t => {
	const {servers, address, report} = await startFleet(t);
	servers[2].status = () => report(2, {
		availabilityZones: [
			{availabilityZone: 'scotland-a', region: 'scotland', state: 'in'},
			{availabilityZone: 'scotland-b', region: 'scotland', state: 'out'},
		],
	});
	const {exitCode, stdout, stderr} = await runBinary('fleet-main', 'status', '--entry', address);
	t.deepEqual([exitCode, stderr], [exitCodes.checkFailed, '']);
	const lines = stdout.split('\n').map(line => line.replaceAll(/\s+/gv, ' '));
	for (const line of [
		`entry-1 ${address} scotland-a 7 held yes 60.0 s`,
		'booking 0 0 3 -',
		'plan 2 12 6 1.5 s',
		'assistant-1 assistant scotland-a in warm 9 32 32',
		'scotland-b scotland in (2), out (1)',
		'availability-zone-states-differ scotland-b out of service only for entry-3 entry-1, entry-2, entry-3',
	]) {
		t.true(lines.map(text => text.trim()).includes(line), `missing: ${line}\n${stdout}`);
	}
});

// Guards against a problem that an entry reports and that is not shown to the operator.
test('status lists every problem once, with all entries that report it, and exits with 1', async t => {
	const {servers, address, report} = await startFleet(t);
	const cold = {...report(0).endpoints[1]!, phase: 'cold' as const, limit: 2};
	const lostLease = {isHeld: false, lostCount: 2, groupSlots: [...slots, 'entry-4']};
	servers[0].status = () => report(0, {
		endpoints: [cold],
		configurationService: {isReachable: false, lastContactMillisecondsAgo: 300_000},
		problems: [{type: 'configuration-rejected', subject: 'version 8', detail: '2 problems'}],
	});
	servers[1].status = () => report(1, {
		endpoints: [cold], lease: lostLease, readiness: {ready: false, reason: 'lease-not-held'}, configurationService: {isReachable: true, revision: 5},
	});
	servers[2].status = () => report(2, {
		...withVersion(6),
		instanceList: {isReachable: false},
		slowFindings: [
			{
				type: 'endpoint-slow',
				endpoint: 'assistant-1',
				service: 'assistant',
				measure: 'first-token',
				comparedWith: 'peers',
				factor: 5.04,
				presentMilliseconds: 5040,
				referenceMilliseconds: 1000,
				observations: 40,
			},
			{
				type: 'tier-slow', tier: 'plan', measure: 'answer', factor: 1.5, presentMilliseconds: 67_500, boundMilliseconds: 45_000, observations: 12,
			},
		],
	});
	const {exitCode, result} = await readStatus('--entry', address);
	t.is(exitCode, exitCodes.checkFailed);
	t.deepEqual(problemNames(result), [
		'configuration-rejected version 8',
		'configuration-service-behind configuration service',
		'configuration-service-unreachable configuration service',
		'endpoint-cold diary-1',
		'endpoint-slow assistant-1',
		'instance-list-unreachable instance list',
		'lease-not-held entry-2',
		'not-ready entry-2',
		'slot-vacant entry-4',
		'tier-slow plan',
		'versions-differ entry-3',
	]);
	const byType = new Map(result.problems.map(problem => [problem.type, problem]));
	t.deepEqual(byType.get('endpoint-cold')?.seenBy, ['entry-1', 'entry-2']);
	t.is(byType.get('endpoint-slow')?.detail, 'first-token 5.0 s is 5.0 times 1.0 s, its peers\' median');
	t.is(byType.get('tier-slow')?.detail, 'answer 67.5 s is 1.5 times its bound of 45.0 s');
	t.is(byType.get('configuration-service-unreachable')?.detail, 'last reached 5 min ago');
	t.is(byType.get('configuration-service-behind')?.detail, 'returns revision 5, version 7 is in force');
});

// Guards against two processes that serve as the same slot, and two different contents of one version, that remain undetected.
test('status reports a slot that two processes serve and a version with two digests', async t => {
	const {servers, address, report} = await startFleet(t);
	servers[1].status = () => report(1, {slot: 'entry-1', ...withVersion(7, 'fedcba9876543210')});
	const {exitCode, result} = await readStatus('--entry', address);
	t.is(exitCode, exitCodes.checkFailed);
	t.deepEqual(problemNames(result), ['configuration-conflict version 7', 'duplicate-slot entry-1']);
});

// Guards against reporting a state that the operator caused on purpose as a problem.
test('an entry in an availability zone that is out of service is expected not to be ready', async t => {
	const {servers, address, report} = await startFleet(t);
	const out: Partial<StatusReport> = {availabilityZones: [{availabilityZone: 'scotland-a', region: 'scotland', state: 'out'}], readiness: {ready: false, reason: 'availability-zone-out'}};
	for (const [index, server] of servers.entries()) {
		server.status = () => report(index, out);
	}

	const {result} = await readStatus('--entry', address);
	t.deepEqual(result.problems, []);
});

// Guards against a stopped entry that prevents the state of all others from being shown.
test('an entry that does not respond is a problem and the others are shown', async t => {
	const {servers, address} = await startFleet(t);
	const stoppedAddress = servers[2].address;
	await servers[2].dispose();
	const {exitCode, result} = await readStatus('--entry', address);
	t.is(exitCode, exitCodes.checkFailed);
	t.deepEqual(result.entries.map(entry => entry.report.slot), ['entry-1', 'entry-2']);
	t.deepEqual(result.unreachable.map(entry => [entry.address, entry.type]), [[stoppedAddress, 'unreachable']]);
	t.deepEqual(problemNames(result), [`entry-unreachable entry-3 (${stoppedAddress})`]);
});

// Guards against a program that hangs on a paused process or accepts a response that is not a status report.
test('an entry that accepts a connection without responding, or responds with something else, is reported with its type of failure', async t => {
	const {servers, address} = await startFleet(t);
	servers[1].status = () => ({status: 200, body: undefined});
	servers[2].status = () => ({status: 200, body: '{"slot": 3}'});
	const {exitCode, result} = await readStatus('--entry', address, '--request-timeout', '1');
	t.is(exitCode, exitCodes.checkFailed);
	t.deepEqual(result.unreachable.map(entry => [entry.address, entry.type]), [[servers[1].address, 'timeout'], [servers[2].address, 'malformed-response']]);
	servers[2].status = () => ({status: 500, body: '{}'});
	servers[1].status = () => ({status: 200, body: '<html>'});
	const second = await readStatus('--entry', address);
	t.deepEqual(second.result.unreachable.map(entry => entry.type), ['malformed-response', 'error-status']);
});

for (const command of [['status'], ['audit'], ['wait', '--version', '7', '--timeout', '0.2']]) {
	// Guards against a script that mistakes an unreachable fleet for a healthy one or one with problems.
	test(`${command[0]} exits with 3 when no entry responds`, async t => {
		const server = await startServer(t);
		const {address} = server;
		await server.dispose();
		const {exitCode, stdout, stderr} = await runBinary('fleet-main', ...command, '--entry', address);
		t.deepEqual([exitCode, stdout], [exitCodes.unreachable, '']);
		t.is(stderr, `jackdawfork-fleet: no-entry-reachable: ${address} unreachable: ECONNREFUSED\n`);
	});
}

function auditEntry(sequence: number, wallTime: number, event: string): AuditEntry {
	return {
		sequence, wallTime, event, actor: 'configuration-service', detail: {version: sequence, difference: [{path: '/site'}]},
	};
}

// Guards against an audit that omits what happened on other entries, or shows it out of order.
test('audit merges the trails of all entries by time and prints one line each', async t => {
	const {servers, address} = await startFleet(t);
	servers[0].audit = () => ({
		slot: 'entry-1', incarnation: 'a', entries: [auditEntry(1, 1000, 'start'), auditEntry(2, 3000, 'lease-lost')], oldestSequence: 1, next: 2,
	});
	servers[1].audit = () => ({
		slot: 'entry-2', incarnation: 'b', entries: [auditEntry(1, 2000, 'configuration-adopted')], oldestSequence: 1, next: 1,
	});
	const {exitCode, stdout, stderr} = await runBinary('fleet-main', 'audit', '--entry', address);
	t.deepEqual([exitCode, stderr], [exitCodes.ok, '']);
	t.deepEqual(stdout.split('\n'), [
		'1970-01-01T00:00:01.000Z entry-1 start by=configuration-service version=1 difference=[{"path":"/site"}]',
		'1970-01-01T00:00:02.000Z entry-2 configuration-adopted by=configuration-service version=1 difference=[{"path":"/site"}]',
		'1970-01-01T00:00:03.000Z entry-1 lease-lost by=configuration-service version=2 difference=[{"path":"/site"}]',
		'',
	]);
});

test('audit --since omits older entries and reports where older entries were overwritten', async t => {
	const {servers, address} = await startFleet(t);
	servers[0].audit = () => ({
		slot: 'entry-1', incarnation: 'a', entries: [auditEntry(41, 1000, 'lease-lost'), auditEntry(42, 3000, 'lease-gained')], oldestSequence: 41, next: 42,
	});
	const since = async (time: string): Promise<{events: string[]; stderr: string}> => {
		const {stdout, stderr} = await runBinary('fleet-main', 'audit', '--json', '--entry', address, '--since', time);
		const {entries} = JSON.parse(stdout) as {entries: AuditEntry[]};
		return {events: entries.map(entry => entry.event), stderr};
	};

	t.deepEqual(await since('1970-01-01T00:00:02Z'), {events: ['lease-gained'], stderr: ''});
	t.deepEqual(await since('1970-01-01T00:00:00Z'), {events: ['lease-lost', 'lease-gained'], stderr: 'entry-1 holds entries only since 1970-01-01T00:00:01.000Z\n'});
	t.deepEqual(await since('10m'), {events: [], stderr: ''});
});

// Guards against an audit that looks complete although an entry did not respond.
test('audit names the entries that are missing and exits with 1', async t => {
	const {servers, address} = await startFleet(t);
	servers[1].audit = () => ({status: 500, body: ''});
	const {exitCode, stderr} = await runBinary('fleet-main', 'audit', '--entry', address);
	t.is(exitCode, exitCodes.checkFailed);
	t.is(stderr, `${servers[1].address} error-status: /v1/audit answered with status 500\n`);
});

// Guards against a release script that continues before the last entry has the version.
test('wait returns when the version is in force on every entry', async t => {
	const {servers, address, report} = await startFleet(t);
	servers[0].status = () => report(0, withVersion(8));
	servers[1].status = () => report(1, withVersion(9));
	servers[2].status = earlierRequests => report(2, withVersion(earlierRequests < 3 ? 7 : 8));
	const {exitCode, stdout} = await runBinary('fleet-main', 'wait', '--entry', address, '--version', '8', '--interval', '0.02');
	t.deepEqual([exitCode, stdout], [exitCodes.ok, 'version 8 is in force on entry-1, entry-2, entry-3\n']);
	t.is(servers[2].requests.get('/v1/status'), 4);
});

test('wait stops after its timeout, prints which entries are missing and exits with 1', async t => {
	const {servers, address, report} = await startFleet(t);
	servers[0].status = () => report(0, withVersion(8));
	servers[2].status = () => report(2, {configuration: undefined});
	const {exitCode, stdout, stderr} = await runBinary('fleet-main', 'wait', '--entry', address, '--version', '8', '--timeout', '0.1', '--interval', '0.02');
	t.deepEqual([exitCode, stdout], [exitCodes.checkFailed, '']);
	t.is(stderr, 'entry-2 has version 7\nentry-3 has version none\nversion 8 was not reached\n');
});

// Guards against a wait that ends although an entry that the operator listed is unreachable.
test('wait counts a listed entry that does not respond as missing, but not one that only a peer reports', async t => {
	const {servers, address} = await startFleet(t);
	const stoppedAddress = servers[2].address;
	await servers[2].dispose();
	const listed = await runBinary('fleet-main', 'wait', '--entry', address, stoppedAddress, '--version', '7', '--timeout', '0.1');
	t.deepEqual([listed.exitCode, listed.stderr], [exitCodes.checkFailed, `${stoppedAddress} unreachable: ECONNREFUSED\nversion 7 was not reached\n`]);
	const named = await runBinary('fleet-main', 'wait', '--entry', address, '--version', '7', '--timeout', '0.1');
	t.deepEqual([named.exitCode, named.stdout], [exitCodes.ok, 'version 7 is in force on entry-1, entry-2\n']);
});

// Guards against a wait that never ends because one entry failed, and one that ends before a majority has the version.
test('wait --quorum needs a majority of the slots of the lease group', async t => {
	const {servers, address, report} = await startFleet(t);
	servers[0].status = () => report(0, withVersion(8));
	const parameters = ['wait', '--quorum', '--entry', address, '--version', '8', '--timeout', '0.1'];
	const one = await runBinary('fleet-main', ...parameters);
	t.deepEqual([one.exitCode, one.stderr], [exitCodes.checkFailed, 'region scotland: in force on 1 of 3 slots, 2 are needed\nversion 8 was not reached\n']);
	servers[1].status = () => report(1, withVersion(8));
	const two = await runBinary('fleet-main', ...parameters);
	t.deepEqual([two.exitCode, two.stdout], [exitCodes.ok, 'version 8 is in force on entry-1, entry-2\n']);
});

// Guards against a version that is reported as accepted although no entry of one region responded.
test('wait --quorum does not succeed while no entry of another region responds', async t => {
	const {servers, address, report} = await startFleet(t);
	const other = {
		slot: 'entry-9', region: 'wales', isReachable: true, isLeaving: false,
	};
	servers[0].status = () => report(0, {peers: [...report(0).peers, other]});
	const {exitCode, stderr} = await runBinary('fleet-main', 'wait', '--quorum', '--entry', address, '--version', '7', '--timeout', '0.1');
	t.deepEqual([exitCode, stderr], [exitCodes.checkFailed, 'region wales: no entry answered\nversion 7 was not reached\n']);
});

// Guards against reporting a version as reached although its contents differ between entries.
test('wait exits with 1 immediately when the version has different contents', async t => {
	const {servers, address, report} = await startFleet(t);
	servers[1].status = () => report(1, withVersion(7, 'fedcba9876543210'));
	const {exitCode, stderr} = await runBinary('fleet-main', 'wait', '--entry', address, '--version', '7');
	t.deepEqual([exitCode, stderr], [exitCodes.checkFailed, 'version 7 has different contents on entry-1, entry-2, entry-3\nversion 7 was not reached\n']);
});

test('wait --json prints the progress of the version as JSON', async t => {
	const {address} = await startFleet(t);
	const {exitCode, stdout} = await runBinary('fleet-main', 'wait', '--json', '--entry', address, '--version', '7');
	t.is(exitCode, exitCodes.ok);
	t.deepEqual(JSON.parse(stdout), {
		version: 7, isReached: true, reachedSlots: slots, missing: [], conflictingSlots: [],
	});
});

// Guards against changed exit codes, on which scripts depend.
for (const [name, parameters, message] of [
	['no entry', ['status'], /required option '--entry <host:port\.\.\.>' not specified/v],
	['an entry without a port', ['status', '--entry', 'localhost'], /expected host:port/v],
	['an entry with a URL', ['status', '--entry', 'http://127.0.0.1:80'], /expected host:port/v],
	['an impossible port', ['status', '--entry', '127.0.0.1:65536'], /expected host:port/v],
	['a version that is not a number', ['wait', '--entry', '127.0.0.1:1', '--version', 'latest'], /expected a whole number/v],
	['a wait without a version', ['wait', '--entry', '127.0.0.1:1'], /required option '--version <number>' not specified/v],
	['a timeout of zero', ['wait', '--entry', '127.0.0.1:1', '--version', '1', '--timeout', '0'], /expected a number above 0/v],
	['a time that can\'t be read', ['audit', '--entry', '127.0.0.1:1', '--since', 'yesterday'], /^jackdawfork-fleet: invalid-argument: --since yesterday: expected/v],
	['an unknown command', ['restart'], /unknown command 'restart'/v],
] as const) {
	test(`${name} exits with 2 and prints the reason`, async t => {
		const result = await runBinary('fleet-main', ...parameters);
		t.deepEqual([result.exitCode, result.stdout], [exitCodes.usage, '']);
		t.regex(result.stderr, message);
	});
}
