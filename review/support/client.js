/** A client that sends one request on its own connection and records what it receives, byte by byte. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** How a connection ended. */
export const endings = {
	/** The other side closed it in order. */
	closed: 'closed',
	/** It was reset. */
	reset: 'reset',
	/** The client waited no longer, or left. */
	timeOut: 'time-out',
};

/** Decodes the head and the body of a response, and tells whether it is whole by the rules of HTTP/1.1. */
export function decodeResponse(bytes, ending) {
	const text = bytes.toString('latin1');
	const headEnd = text.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {isWhole: false, body: '', headers: {}};
	}

	const [statusLine, ...headerLines] = text.slice(0, headEnd).split('\r\n');
	const headers = Object.fromEntries(headerLines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const status = Number(statusLine.split(' ')[1]);
	const rest = text.slice(headEnd + 4);
	if (headers['transfer-encoding'] === 'chunked') {
		return {
			status, headers, ...decodeChunks(rest), framing: 'chunked',
		};
	}

	if (headers['content-length'] !== undefined) {
		return {
			status, headers, body: rest, isWhole: rest.length === Number(headers['content-length']), framing: 'length',
		};
	}

	return {
		status, headers, body: rest, isWhole: ending === endings.closed, framing: 'end of connection',
	};
}

function decodeChunks(text) {
	let body = '';
	let at = 0;
	for (;;) {
		const lineEnd = text.indexOf('\r\n', at);
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(text.slice(at, lineEnd), 16);
		if (Number.isNaN(size) || text.length < lineEnd + 2 + size + 2) {
			return {body, isWhole: false};
		}

		if (size === 0) {
			return {body, isWhole: true};
		}

		body += text.slice(lineEnd + 2, lineEnd + 2 + size);
		at = lineEnd + 2 + size + 2;
	}
}

/**
Sends a request and resolves with the response when it is whole or its connection has ended.

@param leave resolves when the client is to close its connection early. Default: never
*/
export async function send({
	host, port, method, path, headers, body = '', timeoutMs, leave,
}) {
	const socket = connect({host, port, allowHalfOpen: true});
	const chunks = [];
	const lines = Object.entries({...headers, ...(method !== 'GET' && {'Content-Length': body.length})}).map(([name, value]) => `${name}: ${value}\r\n`);
	socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
	const ended = new Promise(resolve => {
		socket.on('error', () => {
			resolve(endings.reset);
		});
		socket.on('data', chunk => {
			chunks.push(chunk);
			const {isWhole, framing} = decodeResponse(Buffer.concat(chunks));
			if (isWhole && framing !== 'end of connection') {
				resolve(endings.closed);
			}
		});
		socket.on('end', () => {
			// Node.js reports the end of a connection also when a reset arrives together with data. After a reset, a write fails at once.
			socket.write('\r\n', error => {
				resolve(error ? endings.reset : endings.closed);
			});
		});
	});
	const timer = new AbortController();
	const timeOut = async () => {
		await delay(timeoutMs, undefined, {signal: timer.signal});
		return endings.timeOut;
	};

	const ending = await Promise.race([ended, timeOut(), ...(leave === undefined ? [] : [leave.then(() => endings.timeOut)])]);
	timer.abort();
	socket.destroy();
	return {ending, ...decodeResponse(Buffer.concat(chunks), ending)};
}
