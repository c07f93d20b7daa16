import type {Milliseconds} from '../../shared/clock.js';
import type {OutgoingDatagram} from '../membership/heartbeat-exchange.js';
import type {PeerGroup} from '../membership/peer-group.js';
import type {EndpointStatements} from '../statements/endpoint-statements.js';
import {startKey, type EndpointStart} from '../statements/types.js';
import {PermitArbiter, type GrantTo} from './permit-arbiter.js';
import {encodePermitGrant, encodePermitRequest} from './permit-codec.js';
import {PermitHolder} from './permit-holder.js';
import type {PermitGrant, PermitRequest, ReceivedPermitRequest} from './types.js';

/** Time for which a request for permits waits before it is made again, and time that each member adds to it. */
const minimumWaitMs: Milliseconds = 300;
const waitPerMemberMs: Milliseconds = 4;
const maximumWaitMs: Milliseconds = 1000;

/** Time for which the instance that gives permits keeps a request, as a ratio of the time after which it is repeated. */
const keptRatio = 1.3;

/** Time of a limit for which permits are requested together, and largest number of them. */
const batchMs: Milliseconds = 100;
const maximumBatch = 32;

const millisecondsPerSecond = 1000;

export type PermitExchangeOptions = {
	readonly ownHost: string;
	readonly peers: PeerGroup;
	readonly statements: EndpointStatements;
	readonly now: () => Milliseconds;
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
		const {ownHost, peers, statements, now} = options;
		this.#arbiter = PermitArbiter.create({
			findLimit: start => statements.findLimit(start)?.perSecond,
			isArbiterOf: start => peers.knowsMembers(now()) && peers.findArbiter(startKey(start), now()) === ownHost,
			presentRatio: () => peers.presentRatio(),
			waitMs: () => this.#waitMs * keptRatio,
		});
	}

	/** Whether this instance may send a request to an endpoint that names a limit. If not, permission is requested. */
	has(start: EndpointStart): boolean {
		const {now} = this.options;
		if (!this.#holder.has(start, now())) {
			this.#request(start);
		}

		return this.#holder.has(start, now());
	}

	/** Uses one permit. Returns false when there is none. */
	take(start: EndpointStart): boolean {
		return this.#holder.take(start, this.options.now());
	}

	/** Processes a request of another instance. Returns what is to be sent in response. */
	receiveRequest({limit: {ageMs, ...limit}, ...request}: ReceivedPermitRequest, sender: string): OutgoingDatagram[] {
		const {statements, now} = this.options;
		const received = {...limit, heardAt: now() - ageMs};
		statements.receive([{...request.start, ...received, kind: 'limit'}]);
		return this.#deliver(this.#arbiter.receive({...request, limit: received}, sender, now()));
	}

	receiveGrant(grant: PermitGrant): void {
		this.#deliver([{host: this.options.ownHost, grant}]);
	}

	/** Returns the grants for instances that have waited. Called periodically. */
	tick(): OutgoingDatagram[] {
		const limited = this.options.statements.limitedStarts();
		this.#holder.retain(limited);
		return this.#deliver(this.#arbiter.tick(limited, this.options.now()));
	}

	/** Applies the grants for this instance, and returns what is to be sent to the others. */
	#deliver(grants: readonly GrantTo[]): OutgoingDatagram[] {
		if (this.#keepOwn(grants)) {
			this.options.onGranted();
		}

		return this.#encodeOthers(grants);
	}

	/** Returns whether this instance has got permits. */
	#keepOwn(grants: readonly GrantTo[]): boolean {
		const own = grants.filter(({host}) => host === this.options.ownHost);
		const received = own.filter(({grant}) => this.#holder.receive(grant, this.#waitMs, this.options.now()));
		return received.length > 0;
	}

	#encodeOthers(grants: readonly GrantTo[]): OutgoingDatagram[] {
		return grants.filter(({host}) => host !== this.options.ownHost).map(({host, grant}) => ({datagram: encodePermitGrant(grant), targets: [host]}));
	}

	get #waitMs(): Milliseconds {
		return Math.min(maximumWaitMs, Math.max(minimumWaitMs, this.options.peers.memberCount * waitPerMemberMs));
	}

	#request(start: EndpointStart): void {
		const {ownHost, peers, statements, send, now} = this.options;
		const limit = statements.findLimit(start);
		const sequence = limit === undefined ? undefined : this.#holder.open(start, this.#waitMs, now());
		if (limit === undefined || sequence === undefined) {
			return;
		}

		const count = Math.min(maximumBatch, Math.max(1, Math.ceil(limit.perSecond * batchMs / millisecondsPerSecond)));
		const request: PermitRequest = {
			start, sequence, count, limit,
		};
		const arbiterHost = peers.findArbiter(startKey(start), now());
		if (arbiterHost !== ownHost) {
			send([{datagram: encodePermitRequest(request, now()), targets: [arbiterHost]}]);
			return;
		}

		const grants = this.#arbiter.receive(request, ownHost, now());
		// The caller uses the permit itself.
		this.#keepOwn(grants);
		send(this.#encodeOthers(grants));
	}
}
