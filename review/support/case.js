/** Frame of a case: runs it with a temporary folder, writes its record, and exits with its result. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

export const exitCodes = {held: 0, broken: 1, notRun: 2};

const maximumMs = 110_000;

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
@param folder folder of the case, which gets `record.txt`
@param run returns a line for each breach of the rule; it gets `note`, which adds a line to the record, `directory`, and `onEnd`, which registers what ends the processes and servers
*/
export async function runCase(folder, run) {
	const startedAt = performance.now();
	const lines = [];
	const note = text => {
		lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
	};

	const directory = mkdtempSync(path.join(tmpdir(), 'jackdawfork-review-'));
	const endings = [];
	const finish = async code => {
		for (const end of endings.toReversed()) {
			// eslint-disable-next-line no-await-in-loop
			await end();
		}

		rmSync(directory, {recursive: true, force: true});
		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- the result of a script is its exit code
	};

	setTimeout(() => {
		note('not run: the time is over');
		finish(exitCodes.notRun);
	}, maximumMs).unref();
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, () => {
			note(`not run: ${signal}`);
			finish(exitCodes.notRun);
		});
	}

	try {
		note(`trouble: ${hasTrouble}`);
		const breaches = await run({
			note,
			directory,
			onEnd(end) {
				endings.push(end);
			},
		});
		for (const breach of breaches) {
			note(`breach: ${breach}`);
		}

		note(breaches.length === 0 ? 'the rule held' : `the rule was broken ${breaches.length} times`);
		console.log(lines.at(-1));
		await finish(breaches.length === 0 ? exitCodes.held : exitCodes.broken);
	} catch (error) {
		note(`not run: ${error.stack}`);
		console.log(lines.at(-1));
		await finish(exitCodes.notRun);
	}
}
