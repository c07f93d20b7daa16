import type {Milliseconds} from '../../shared/clock.js';
import type {LedgerMessage} from './types.js';

/** Messages are sent again for at most this long. After that, the lender has usually reclaimed the units by itself. */
const retentionMs: Milliseconds = 60_000;

/** Older messages to a peer are dropped beyond this number. */
const maximumMessagesPerPeer = 1000;

type SentMessage = {
	readonly sentAt: Milliseconds;
	readonly message: LedgerMessage;
};

/** Returns and cancellations that were sent and may have been lost with the connection. Receiving them twice has no effect. */
export class UnconfirmedMessages {
	static create(): UnconfirmedMessages {
		return new UnconfirmedMessages();
	}

	readonly #messagesByPeer = new Map<string, SentMessage[]>();

	private constructor() {}

	add(message: LedgerMessage, sentAt: Milliseconds): void {
		const messages = this.#messagesByPeer.get(message.to) ?? [];
		this.#messagesByPeer.set(message.to, messages);
		messages.push({sentAt, message});
		if (messages.length > maximumMessagesPerPeer) {
			messages.shift();
		}
	}

	messagesToResend(peer: string, now: Milliseconds): LedgerMessage[] {
		this.removeExpired(now);
		return (this.#messagesByPeer.get(peer) ?? []).map(({message}) => message);
	}

	removeExpired(now: Milliseconds): void {
		for (const [peer, messages] of this.#messagesByPeer) {
			const firstKept = messages.findIndex(({sentAt}) => sentAt + retentionMs > now);
			if (firstKept === -1) {
				this.#messagesByPeer.delete(peer);
			} else {
				messages.splice(0, firstKept);
			}
		}
	}
}
