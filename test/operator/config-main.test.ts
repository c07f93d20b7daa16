import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {checkDocument, type ConfigurationChange, type ConfigurationProblem} from '../../src/shared/configuration/index.js';
import {exitCodes} from '../../src/operator/exit-codes.js';
import {examplePath, readExample, type DocumentChange} from '../fixtures/example-document.js';
import {runBinary} from '../fixtures/run-binary.js';

const base = examplePath('clachan', 'base');
const overlay = examplePath('clachan', 'overlay');

async function writeDocument(t: ExecutionContext, content: string): Promise<string> {
	const directory = await mkdtemp(path.join(tmpdir(), 'jackdawfork-'));
	t.teardown(async () => rm(directory, {recursive: true}));
	const file = path.join(directory, 'document.json');
	await writeFile(file, content);
	return file;
}

/** Writes the overlay of the Clachan example with some changes. */
async function writeOverlay(t: ExecutionContext, ...changes: readonly DocumentChange[]): Promise<string> {
	return writeDocument(t, JSON.stringify(readExample('clachan', 'overlay', changes)));
}

for (const site of ['clachan', 'karoo'] as const) {
	test(`validate accepts the example documents of ${site}`, async t => {
		const {exitCode, stdout, stderr} = await runBinary('config-main', 'validate', examplePath(site, 'base'), examplePath(site, 'overlay'));
		t.deepEqual([exitCode, stderr], [exitCodes.ok, '']);
		t.regex(stdout, new RegExp(String.raw`^valid: site ${site}, .*entrySlots 7, workspaces 5, digest [\da-f]{16}\n$`, 'v'));
	});
}

// Guards against a release script that continues after an invalid document, and against reporting only the first problem.
test('validate prints every problem with its file and exits with 1', async t => {
	const broken = await writeOverlay(t, ['endpoints/diary-1/service', 'calendar'], ['endpoints/diary-2/limit/coldUnits', 99]);
	const {exitCode, stdout, stderr} = await runBinary('config-main', 'validate', base, broken);
	t.deepEqual([exitCode, stdout], [exitCodes.checkFailed, '']);
	t.deepEqual(stderr.split('\n'), [
		`${broken}: /endpoints/diary-1/service: found "calendar", expected one of assistant, diary`,
		`${broken}: /endpoints/diary-2/limit/coldUnits: found 99, expected at most units, which is 8`,
		'invalid: 2 problems',
		'',
	]);
});

test('validate --json prints the problems as JSON', async t => {
	const broken = await writeOverlay(t, ['endpoints/diary-1/service', 'calendar']);
	const {exitCode, stdout} = await runBinary('config-main', 'validate', '--json', base, broken);
	const result = JSON.parse(stdout) as {valid: boolean; problems: ConfigurationProblem[]};
	t.is(exitCode, exitCodes.checkFailed);
	t.deepEqual(result, {
		valid: false,
		problems: [{
			file: broken, path: '/endpoints/diary-1/service', value: 'calendar', expected: 'one of assistant, diary',
		}],
	});
});

// Guards against a document that is valid but too large for the configuration service.
test('validate rejects a document that is too large for the configuration service', async t => {
	const large = await writeDocument(t, JSON.stringify(readExample('clachan', 'overlay')) + ' '.repeat(1_000_000));
	const {exitCode, stderr} = await runBinary('config-main', 'validate', base, large);
	t.is(exitCode, exitCodes.checkFailed);
	t.regex(stderr, /expected at most 1000000 bytes/v);
});

test('render prints the configuration in force with its defaults', async t => {
	const {exitCode, stdout} = await runBinary('config-main', 'render', base, overlay);
	t.is(exitCode, exitCodes.ok);
	const rendered = JSON.parse(stdout) as {policy: {leaseMilliseconds: number; maximumBodyBytes: number}};
	t.like(rendered.policy, {leaseMilliseconds: 2000, maximumBodyBytes: 2_097_152});
	t.deepEqual(checkDocument(rendered, {file: 'rendered'}), {ok: true, configuration: rendered} as unknown as ReturnType<typeof checkDocument>);
});

// Guards against rendering a document that no entry would adopt.
test('render of an invalid document prints problems instead and exits with 1', async t => {
	const {exitCode, stdout, stderr} = await runBinary('config-main', 'render', base);
	t.deepEqual([exitCode, stdout], [exitCodes.checkFailed, '']);
	t.regex(stderr, /\/endpoints: found nothing, expected an object/v);
});

// Guards against an operator who takes more out of service than intended: the description has to list what is taken out and what remains.
test('diff describes which zone is taken out of service with its endpoints and slots, and what remains', async t => {
	const changed = await writeOverlay(t, ['availabilityZones/scotland-a/state', 'out']);
	const {exitCode, stdout} = await runBinary('config-main', 'diff', base, overlay, base, changed);
	t.is(exitCode, exitCodes.ok);
	t.is(stdout, [
		'In words:',
		'  takes availability zone scotland-a with 3 endpoints (assistant-1, assistant-4, diary-1) and 2 entry slots (entry-1, entry-5) out of service',
		'  service assistant has 6 endpoints and 124 units in service, before 8 and 176',
		'  service diary has 3 endpoints and 24 units in service, before 4 and 32',
		'Values:',
		'  ~ /availabilityZones/scotland-a/state "in" -> "out"',
		'',
	].join('\n'));
});

// Guards against a difference that compares the files instead of the configurations in force.
test('diff of documents that differ only in explicit defaults shows no change', async t => {
	const changed = await writeOverlay(t, ['availabilityZones/scotland-a/state', 'in']);
	const {exitCode, stdout} = await runBinary('config-main', 'diff', base, overlay, base, changed);
	t.deepEqual([exitCode, stdout], [exitCodes.ok, 'no change in force\n']);
});

test('diff --json prints changes and statements as JSON', async t => {
	const changed = await writeOverlay(t, ['policy/maximumBodyBytes', 4096]);
	const {stdout} = await runBinary('config-main', 'diff', '--json', base, overlay, base, changed);
	const result = JSON.parse(stdout) as {changes: ConfigurationChange[]; statements: Array<{severity: string; text: string}>};
	t.deepEqual(result.changes, [{path: '/policy/maximumBodyBytes', before: 2_097_152, after: 4096}]);
	t.deepEqual(result.statements, [{severity: 'notice', text: 'changes maximumBodyBytes of policy from 2097152 to 4096'}]);
});

test('diff with an invalid new document prints its problems and exits with 1', async t => {
	const broken = await writeOverlay(t, ['endpoints/diary-1/service', 'calendar']);
	const {exitCode, stdout, stderr} = await runBinary('config-main', 'diff', base, overlay, base, broken);
	t.deepEqual([exitCode, stdout], [exitCodes.checkFailed, '']);
	t.true(stderr.includes(`${broken}: /endpoints/diary-1/service`));
});

// Guards against changed exit codes, on which scripts depend.
for (const [name, parameters, exitCode, message] of [
	['no command', [], exitCodes.usage, /Usage: jackdawfork-config/v],
	['an unknown command', ['repair'], exitCodes.usage, /unknown command 'repair'/v],
	['a missing argument', ['validate'], exitCodes.usage, /missing required argument 'base'/v],
	['an unknown option', ['validate', '--strict', base], exitCodes.usage, /unknown option '--strict'/v],
	['too many arguments', ['validate', base, overlay, 'more'], exitCodes.usage, /too many arguments/v],
	['a missing file', ['validate', 'no-such-file.json'], exitCodes.unreadable, /^jackdawfork-config: document-unreadable: .*no-such-file\.json/v],
	['a file that is not JSON', ['validate', 'package.json', 'README.md'], exitCodes.unreadable, /^jackdawfork-config: document-not-json: README\.md: /v],
] as const) {
	test(`${name} exits with ${exitCode} and prints the reason`, async t => {
		const result = await runBinary('config-main', ...parameters);
		t.deepEqual([result.exitCode, result.stdout], [exitCode, '']);
		t.regex(result.stderr, message);
	});
}

test('help exits with 0', async t => {
	const {exitCode, stdout} = await runBinary('config-main', '--help');
	t.is(exitCode, exitCodes.ok);
	t.regex(stdout, /validate.*render.*diff/sv);
});
