import {
	closeSync, openSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';
import {LogOutput} from '../../../src/gateway/observability/log-output.js';
import {MemoryLog} from '../../fixtures/gateway/memory-log.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

test('lines of one event are limited to a rate, and suppressed lines are counted', t => {
	const clock = ManualClock.create();
	const memory = MemoryLog.create(clock);
	for (let line = 0; line < 1000; line++) {
		memory.log.event('request-ended', {requestId: `r${line}`});
	}

	memory.log.event('stopping', {});
	t.is(memory.linesOf('request-ended').length, 150);
	t.is(memory.linesOf('stopping').length, 1, 'other events are not affected');
	clock.advance(1000);
	memory.log.event('request-ended', {requestId: 'next'});
	t.regex(memory.linesOf('log-lines-suppressed')[0]!, /of=request-ended count=850/v);
	t.is(memory.linesOf('request-ended').length, 151);
});

test('lines beyond the buffer are dropped without blocking, and their number is logged', async t => {
	const file = path.join(tmpdir(), `jackdawfork-log-${process.pid}`);
	const descriptor = openSync(file, 'w');
	const output = LogOutput.create(descriptor);
	const line = `${'x'.repeat(999)}\n`;
	let accepted = 0;
	for (let index = 0; index < 400; index++) {
		accepted += output.write(line) ? 1 : 0;
	}

	await output.flush();
	closeSync(descriptor);
	const text = readFileSync(file, 'utf8');
	rmSync(file);
	t.is(accepted, 262);
	t.is(text.split('\n').length - 1, 263);
	t.regex(text, /event=log-lines-dropped count=138/v);
});
