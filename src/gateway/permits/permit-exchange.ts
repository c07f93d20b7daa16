import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {OutgoingDatagram} from '../membership/heartbeat-exchange.js';
import type {PeerGroup} from '../membership/peer-group.js';
import type {EndpointStatements} from '../statements/endpoint-statements.js';
import {startKey, type EndpointStart} from '../site/endpoint-start.js';
import {PermitArbiter, type AddressedGrant} from './permit-arbiter.js';
import {encodePermitGrant, encodePermitRequest} from './permit-codec.js';
import {PermitHolder} from './permit-holder.js';
import type {PermitGrant, PermitRequest, ReceivedPermitRequest} from './types.js';

/** Time in which a grant is expected: it follows the number of members, within bounds. */
const minimumWaitMs: Milliseconds = 300;
const waitPerMemberMs: Milliseconds = 4;
const maximumWaitMs: Milliseconds = 1000;

/** Time for which the arbiter keeps a request, as a ratio of the time in which its grant is expected. A repeated request comes before that and keeps its place. */
const keptRatio = 1.3;

/** Time of a limit for which permits are requested together, and largest number of them. */
const batchMs: Milliseconds = 100;
const maximumBatch = 32;

const millisecondsPerSecond = 1000;

export type PermitExchangeOptions = {
	readonly ownHost: string;
	readonly peers: PeerGroup;
	readonly statements: EndpointStatements;
	readonly clock: Clock;
	readonly send: (outgoing: readonly OutgoingDatagram[]) => void;
	/** Called when permits have arrived, so that waiting requests can use them. */
	readonly onGranted: () => void;
};

/** Decides who is asked for permits and what is sent, without network or timers. */
export class PermitExchange {
	static create(options: PermitExchangeOptions): PermitExchange {
		return new PermitExchange(options);
	}

	readonly #arbiter: PermitArbiter;
	readonly #holder = PermitHolder.create();

	private constructor(private readonly options: PermitExchangeOptions) {
		const {ownHost, peers, statements, clock} = options;
		this.#arbiter = PermitArbiter.create({
			findLimit: start => statements.findLimit(start)?.perSecond,
			isArbiterOf: start => peers.knowsMembers(clock.now()) && peers.findArbiter(startKey(start), clock.now()) === ownHost,
			presentRatio: () => peers.presentRatio(),
			waitMs: () => this.#waitMs * keptRatio,
		});
	}

	/** Asks for permits unless this instance holds one. Returns whether it does now. */
	ensure(start: EndpointStart): boolean {
		const {clock} = this.options;
		if (!this.#holder.has(start, clock.now())) {
			this.#request(start);
		}

		return this.#holder.has(start, clock.now());
	}

	/** As `ensure`, but asks for nothing. */
	has(start: EndpointStart): boolean {
		return this.#holder.has(start, this.options.clock.now());
	}

	/** Uses one permit. Returns false when there is none. */
	take(start: EndpointStart): boolean {
		return this.#holder.take(start, this.options.clock.now());
	}

	/** Processes a request of another instance. Returns what is to be sent in response. */
	receiveRequest({limit: {ageMs, ...limit}, ...request}: ReceivedPermitRequest, sender: string): OutgoingDatagram[] {
		const {statements, clock} = this.options;
		const received = {...limit, heardAt: clock.now() - ageMs};
		statements.receive([{...request.start, ...received, kind: 'limit'}]);
		return this.#deliver(this.#arbiter.receive({...request, limit: received}, sender, clock.now()));
	}

	receiveGrant(grant: PermitGrant): void {
		this.#deliver([{host: this.options.ownHost, grant}]);
	}

	/** Returns the grants for instances that have waited. Called periodically. */
	tick(): OutgoingDatagram[] {
		const {statements, clock} = this.options;
		this.#holder.retain(start => statements.findLimit(start) !== undefined);
		return this.#deliver(this.#arbiter.tick(clock.now()));
	}

	/** Applies the grants for this instance, and returns what is to be sent to the others. */
	#deliver(grants: readonly AddressedGrant[]): OutgoingDatagram[] {
		if (this.#keepOwn(grants)) {
			this.options.onGranted();
		}

		return this.#encodeOthers(grants);
	}

	/** Returns whether this instance has got permits. */
	#keepOwn(grants: readonly AddressedGrant[]): boolean {
		const own = grants.filter(({host}) => host === this.options.ownHost);
		const received = own.filter(({grant}) => this.#holder.receive(grant, this.#waitMs, this.options.clock.now()));
		return received.length > 0;
	}

	#encodeOthers(grants: readonly AddressedGrant[]): OutgoingDatagram[] {
		return grants.filter(({host}) => host !== this.options.ownHost).map(({host, grant}) => ({datagram: encodePermitGrant(grant), targets: [host]}));
	}

	get #waitMs(): Milliseconds {
		return Math.min(maximumWaitMs, Math.max(minimumWaitMs, this.options.peers.memberCount * waitPerMemberMs));
	}

	#request(start: EndpointStart): void {
		const {ownHost, peers, statements, send, clock} = this.options;
		const limit = statements.findLimit(start);
		const sequence = limit === undefined ? undefined : this.#holder.open(start, this.#waitMs, clock.now());
		if (limit === undefined || sequence === undefined) {
			return;
		}

		const count = Math.min(maximumBatch, Math.max(1, Math.ceil(limit.perSecond * batchMs / millisecondsPerSecond)));
		const request: PermitRequest = {
			start, sequence, count, limit,
		};
		const arbiterHost = peers.findArbiter(startKey(start), clock.now());
		if (arbiterHost !== ownHost) {
			send([{datagram: encodePermitRequest(request, clock.now()), targets: [arbiterHost]}]);
			return;
		}

		const grants = this.#arbiter.receive(request, ownHost, clock.now());
		// The caller uses the permit itself.
		this.#keepOwn(grants);
		send(this.#encodeOthers(grants));
	}
}
