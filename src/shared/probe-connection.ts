import {connect} from 'node:net';
import {splitAddress} from './address.js';
import type {Milliseconds} from './clock.js';

export const connectResults = {
	opened: 'opened',
	/** No process listens at the address. */
	refused: 'refused',
	/** No result in time, or the connection failed in another way. */
	unknown: 'unknown',
} as const;

export type ConnectResult = (typeof connectResults)[keyof typeof connectResults];

/** Opens a connection without sending anything and closes it at once. A result that has arrived within the timeout counts, also when this process was too busy to read it. */
export async function probeConnection(address: string, timeoutMs: Milliseconds): Promise<ConnectResult> {
	const {host, port} = splitAddress(address);
	const socket = connect({host, port});
	return new Promise(resolve => {
		const end = (result: ConnectResult) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(result);
		};

		const timer = setTimeout(() => {
			// After a delay of this process, timers run before the results that have arrived meanwhile.
			setImmediate(() => {
				end(connectResults.unknown);
			});
		}, timeoutMs);
		socket.on('connect', () => {
			end(connectResults.opened);
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			end(error.code === 'ECONNREFUSED' ? connectResults.refused : connectResults.unknown);
		});
	});
}
