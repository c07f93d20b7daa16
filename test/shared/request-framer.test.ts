import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {pieceKinds, RequestFramer, type BodyFraming} from '../../src/shared/request-framer.js';
import {testSeed} from '../fixtures/seed.js';

type SentRequest = {
	readonly head: string;
	readonly body: string;
	readonly framing: BodyFraming;
};

const noBody: BodyFraming = {isChunked: false, length: 0};

function chunked(chunks: readonly string[], trailers: readonly string[]): string {
	const coded = chunks.map(chunk => `${chunk.length.toString(16)};extension=1\r\n${chunk}\r\n`);
	return [...coded, '0\r\n', ...trailers.map(line => `${line}\r\n`), '\r\n'].join('');
}

/** Bytes that look like the end of a head, or like a chunk. */
const bodyText = fc.string({unit: fc.constantFrom('a', '0', '\r', '\n', ':'), minLength: 1, maxLength: 40});
const line = fc.constantFrom('a:', 'name: value', 'b:c', 'transfer-encoding: x');

const requests: fc.Arbitrary<SentRequest> = fc.record({
	lines: fc.array(line, {maxLength: 5}),
	chunks: fc.array(bodyText, {maxLength: 4}),
	trailers: fc.array(line, {maxLength: 2}),
	kind: fc.constantFrom('none', 'fixed', 'chunked'),
}).map(({lines, chunks, trailers, kind}) => {
	const head = ['POST / HTTP/1.1', ...lines, '', ''].join('\r\n');
	if (kind === 'chunked') {
		return {head, body: chunked(chunks, trailers), framing: {isChunked: true, length: 0}};
	}

	const body = kind === 'fixed' ? chunks.join('') : '';
	return {head, body, framing: {isChunked: false, length: body.length}};
});

/** Passes on what has arrived, as a connection does, and returns the heads. */
function readHeads(sent: readonly SentRequest[], text: string, pieceLengths: readonly number[]): string[] {
	const framer = RequestFramer.create();
	const bytes = Buffer.from(text, 'latin1');
	const heads: string[] = [];
	let start = 0;
	let arrived = 0;
	for (let arrival = 0; arrived < bytes.length; arrival++) {
		arrived = Math.min(bytes.length, arrived + pieceLengths[arrival % pieceLengths.length]!);
		while (start < arrived) {
			const {kind, length} = framer.next(bytes.subarray(start, arrived));
			if (kind === pieceKinds.incomplete) {
				break;
			}

			if (kind === pieceKinds.head) {
				heads.push(bytes.toString('latin1', start, start + length));
				framer.beginBody(sent[heads.length - 1]!.framing);
			}

			start += length;
		}
	}

	return heads;
}

// Guards against heads that are given to the parser in parts, or together with the next one.
test('each head is found as it was sent, whatever is in the bodies and wherever readings end', t => {
	fc.assert(fc.property(fc.array(requests, {minLength: 1, maxLength: 4}), fc.array(fc.integer({min: 1, max: 60}), {minLength: 1, maxLength: 5}), (sent, pieceLengths) => {
		const text = sent.map(({head, body}) => head + body).join('');
		t.deepEqual(readHeads(sent, text, pieceLengths), sent.map(({head}) => head));
	}), {seed: testSeed()});
});

test('the lines of a head are counted', t => {
	t.deepEqual(RequestFramer.create().next(Buffer.from('GET / HTTP/1.1\r\na: b\r\nc:\r\n\r\nGET')), {kind: pieceKinds.head, length: 28, lines: 3});
});

test('empty lines before a head belong to no request', t => {
	const framer = RequestFramer.create();
	t.like(framer.next(Buffer.from('\r\n\r\nGET / HTTP/1.1\r\n\r\n')), {kind: pieceKinds.body, length: 4});
	t.like(framer.next(Buffer.from('GET / HTTP/1.1\r\n\r\n')), {kind: pieceKinds.head, length: 18});
});

test('a head is incomplete until its empty line has arrived', t => {
	const framer = RequestFramer.create();
	t.is(framer.next(Buffer.from('GET / HTTP/1.1\r\n\r')).kind, pieceKinds.incomplete);
	t.like(framer.next(Buffer.from('GET / HTTP/1.1\r\n\r\n')), {kind: pieceKinds.head, length: 18});
});

test('trailers are incomplete until their empty line has arrived', t => {
	const framer = RequestFramer.create();
	framer.beginBody({...noBody, isChunked: true});
	t.like(framer.next(Buffer.from('1\r\nx\r\n0\r\n')), {kind: pieceKinds.body, length: 9});
	t.is(framer.next(Buffer.from('a: b\r\n')).kind, pieceKinds.incomplete);
	t.like(framer.next(Buffer.from('a: b\r\n\r\nGET')), {kind: pieceKinds.body, length: 8});
});

test('bytes that begin no request are passed on at once', t => {
	t.like(RequestFramer.create().next(Buffer.from([0x16, 0x03, 0x01])), {kind: pieceKinds.body, length: 3});
});
