import type {Socket} from 'node:net';

/** Closes a connection at once, with a reset: an end in order would make a response without a length look complete. */
export function resetConnection(socket: Socket): void {
	// Otherwise the reset waits until what was written has been taken.
	socket.destroySoon = () => {
		socket.destroy();
	};

	socket.resetAndDestroy();
}
