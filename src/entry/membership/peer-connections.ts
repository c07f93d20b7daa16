/** The open connections to other entry processes. */
import type {PeerConnection} from './peer-connection.js';

export class PeerConnections {
	static create(): PeerConnections {
		return new PeerConnections();
	}

	/** In the order in which they were opened. */
	readonly #connections = new Set<PeerConnection>();

	private constructor() {}

	get size(): number {
		return this.#connections.size;
	}

	add(connection: PeerConnection): void {
		this.#connections.add(connection);
	}

	delete(connection: PeerConnection): void {
		this.#connections.delete(connection);
	}

	all(): PeerConnection[] {
		return [...this.#connections];
	}

	/** Connections whose peer has sent its hello. */
	identified(): PeerConnection[] {
		return this.all().filter(({isIdentified}) => isIdentified);
	}

	/** Incarnations that have an identified connection. */
	incarnations(): Set<string> {
		return new Set(this.identified().map(({hello}) => hello?.incarnation ?? ''));
	}

	/**
	The connection to use for a slot: one of the given incarnation, else the latest one.

	@param incarnation the incarnation that the slot is bound to, if any
	*/
	findBySlot(slot: string, incarnation: string | undefined): PeerConnection | undefined {
		const candidates = this.identified().filter(({hello}) => hello?.slot === slot);
		return candidates.findLast(({hello}) => hello?.incarnation === incarnation) ?? candidates.at(-1);
	}

	hasAddress(address: string): boolean {
		return this.identified().some(({hello}) => hello?.addresses.peers === address);
	}
}
