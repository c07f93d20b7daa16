/** Stand-in of a caller of the platform: sends one request and collects its response. */
import {Buffer} from 'node:buffer';
import {request as httpRequest, type IncomingHttpHeaders, type RequestOptions} from 'node:http';

export type CallerResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	/** Whether the response was complete. */
	readonly isComplete: boolean;
};

/**
Sends one request. A response that breaks off is returned with `isComplete: false`.

@throws {Error} when the connection fails or the signal aborts before the head of a response
*/
export async function sendRequest(options: RequestOptions, body?: string): Promise<CallerResponse> {
	return new Promise((resolve, reject) => {
		const request = httpRequest(options, response => {
			const chunks: Uint8Array[] = [];
			// A reset also ends a response without a length, which node:http then reports as complete.
			let hasFailed = false;
			const recordFailure = () => {
				hasFailed = true;
			};

			request.off('error', reject);
			request.on('error', recordFailure);
			const {socket} = response;
			socket.once('error', recordFailure);
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('error', recordFailure);
			response.on('close', () => {
				socket.off('error', recordFailure);
				resolve({
					status: response.statusCode!, headers: response.headers, body: Buffer.concat(chunks).toString(), isComplete: response.complete && !hasFailed,
				});
			});
		});
		request.on('error', reject);
		request.end(body);
	});
}
