import type {Socket} from 'node:dgram';
import type {SocketAddress} from './address.js';

/**
Binds a UDP socket. Later errors of the socket go to `onError`.

@throws {Error} when the address can't be bound
*/
export async function bindDatagramSocket(socket: Socket, {host, port}: SocketAddress, onError: (error: Error) => void): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		socket.once('error', reject);
		socket.bind(port, host, () => {
			socket.off('error', reject);
			resolve();
		});
	});
	socket.on('error', onError);
}
