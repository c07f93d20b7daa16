import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Milliseconds} from '../../shared/clock.js';
import {FailureError} from '../../shared/failure.js';

export type BodyBounds = {
	readonly maximumBytes: number;
	/** Time from the call of `readBody` to the last byte. */
	readonly timeoutMs: Milliseconds;
};

/**
Reads and discards the rest of a body, so that the caller can read the response. Closes the connection on timeout.
*/
export function discardBody(request: IncomingMessage, timeoutMs: Milliseconds): void {
	if (request.complete || request.destroyed) {
		return;
	}

	const timer = setTimeout(() => {
		request.destroy();
	}, timeoutMs);
	timer.unref();
	request.once('close', () => {
		clearTimeout(timer);
	});
	request.on('error', () => undefined);
	request.resume();
}

/**
Reads a complete request body and buffers at most `maximumBytes` of it.

@throws {FailureError} `body-too-large`, `body-timeout`, or `cancelled` when the caller disconnects
*/
export async function readBody(request: IncomingMessage, {maximumBytes, timeoutMs}: BodyBounds): Promise<Uint8Array> {
	const tooLarge = () => FailureError.create('body-too-large', `the body is larger than ${maximumBytes} bytes`);
	if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
		throw tooLarge();
	}

	const chunks: Uint8Array[] = [];
	let receivedBytes = 0;
	return new Promise((resolve, reject) => {
		const finish = (error?: FailureError) => {
			clearTimeout(timer);
			request.off('data', onData);
			request.off('end', onEnd);
			request.off('close', onClose);
			request.off('error', onClose);
			if (error === undefined) {
				resolve(Buffer.concat(chunks));
			} else {
				reject(error);
			}
		};

		const onData = (chunk: Uint8Array) => {
			receivedBytes += chunk.byteLength;
			if (receivedBytes > maximumBytes) {
				finish(tooLarge());
				return;
			}

			chunks.push(chunk);
		};

		const onEnd = () => {
			finish();
		};

		const onClose = () => {
			finish(FailureError.create('cancelled', 'the caller disconnected before its request was complete'));
		};

		const timer = setTimeout(() => {
			finish(FailureError.create('body-timeout', `the body was not complete within ${timeoutMs} ms`));
		}, timeoutMs);
		request.on('data', onData);
		request.on('end', onEnd);
		request.on('close', onClose);
		request.on('error', onClose);
	});
}
