/**
Runs AVA with TAP output and ends with the line `N passed, N failed`.

A failing test that is listed in KNOWN-RED.txt is printed but does not fail the run. A listed test that passes is printed too, so that its entry can be removed.
*/
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import readline from 'node:readline';

const entryPattern = /^test:\s*(?<title>.+)$/v;
const tapLinePattern = /^(?<verdict>ok|not ok) \d+ - (?<title>.*?)(?<directive> # (?:SKIP|TODO).*)?$/v;

function readKnownFailures() {
	try {
		return new Set(readFileSync('KNOWN-RED.txt', 'utf8')
			.split('\n')
			.map(line => entryPattern.exec(line)?.groups.title.trim())
			.filter(Boolean));
	} catch (error) {
		if (error.code === 'ENOENT') {
			return new Set();
		}

		throw error;
	}
}

/** Tests that observe the memory of a process. They run one at a time, after the others. */
const isolatedFiles = 'dist/test/gateway/{endless-bytes,misbehaving-callers,unread-responses}.test.js';

const patterns = process.argv.slice(2);
const runs = patterns.length > 0 ? [patterns] : [['dist/test/**/*.test.js', `!${isolatedFiles}`], [isolatedFiles, '--serial', '--concurrency', '1']];
const knownFailures = readKnownFailures();
const counts = {passed: 0, failed: 0, known: 0};

/** A run of some files leaves out the folders that all of them share. */
function isKnownFailure(title) {
	return [...knownFailures].some(known => known === title || known.endsWith(` › ${title}`));
}

function recordTest(verdict, title) {
	if (verdict === 'ok') {
		counts.passed++;
		if (isKnownFailure(title)) {
			console.log(`# listed in KNOWN-RED.txt but passed: ${title}`);
		}
	} else if (isKnownFailure(title)) {
		counts.known++;
		console.log(`# known failure, listed in KNOWN-RED.txt: ${title}`);
	} else {
		counts.failed++;
	}
}

async function runTests(options) {
	const before = {...counts};
	const child = spawn('node_modules/.bin/ava', ['--tap', ...options], {stdio: ['ignore', 'pipe', 'inherit']});
	const closed = new Promise(resolve => {
		child.on('close', resolve);
	});

	for await (const line of readline.createInterface({input: child.stdout})) {
		console.log(line);
		const match = tapLinePattern.exec(line);
		if (match) {
			recordTest(match.groups.verdict, match.groups.title);
		}
	}

	const exitCode = await closed;
	if (counts.passed === before.passed) {
		console.log('# no test passed');
		counts.failed++;
	}

	// A crash outside any test has no TAP line of its own; AVA then reports it only through its exit code.
	if (exitCode !== 0 && counts.failed === before.failed && counts.known === before.known) {
		console.log(`# AVA exited with ${exitCode} although no test line failed`);
		counts.failed++;
	}
}

for (const options of runs) {
	// eslint-disable-next-line no-await-in-loop
	await runTests(options);
}

console.log(`${counts.passed} passed, ${counts.failed} failed`);
process.exitCode = counts.failed === 0 ? 0 : 1;
