/** The parts of a request id. */
export type RequestIdParts = {
	readonly slot: string;
	/** The incarnation of the slot that issued the id; only it may dispatch the request. */
	readonly incarnation: string;
	/** Position in the order in which the incarnation issued its ids, from 1. */
	readonly counter: number;
};

const requestIdPattern = /^(?<slot>[a-z\d][a-z\d.\-]{0,62})_(?<incarnation>[A-Za-z\d\-]{1,64})_(?<counter>[1-9]\d{0,15})$/v;

/** Identifies one request: slot, incarnation and counter, joined by underscores, which none of the three contains. */
export class RequestId implements RequestIdParts {
	static create(parts: RequestIdParts): RequestId {
		return new RequestId(parts.slot, parts.incarnation, parts.counter);
	}

	/** Returns undefined when the text has another format. */
	static parse(text: string): RequestId | undefined {
		const groups = requestIdPattern.exec(text)?.groups;
		if (groups === undefined) {
			return undefined;
		}

		const counter = Number(groups.counter);
		return Number.isSafeInteger(counter) ? new RequestId(groups.slot!, groups.incarnation!, counter) : undefined;
	}

	private constructor(readonly slot: string, readonly incarnation: string, readonly counter: number) {}

	toString(): string {
		return `${this.slot}_${this.incarnation}_${this.counter}`;
	}
}
