import type {Milliseconds} from '../../shared/clock.js';
import type {LedgerMessage} from './types.js';

/** How long a message may be repeated, in milliseconds. Afterwards the lender has mostly taken the units back by itself. */
const retentionMs: Milliseconds = 60_000;

/** The most messages kept for one peer. */
const maximumMessagesPerPeer = 1000;

type SentMessage = {
	readonly sentAt: Milliseconds;
	readonly message: LedgerMessage;
};

/** Returns and cancellations that were sent and may have been lost together with the connection. They may be repeated without harm. */
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
