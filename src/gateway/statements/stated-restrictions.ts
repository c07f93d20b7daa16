import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {OutgoingDatagram} from '../membership/heartbeat-exchange.js';
import {greetedChanges, type PeerChange, type PeerGroup} from '../membership/peer-group.js';
import type {EventLog} from '../observability/event-log.js';
import {PermitExchange} from '../permits/permit-exchange.js';
import type {EndpointStatement} from '../protocol.js';
import type {EndpointRestrictions} from '../scheduling/types.js';
import type {EndpointStart} from '../site/endpoint-start.js';
import {EndpointStatements, type StatementStatus} from './endpoint-statements.js';
import {StatementExchange} from './statement-exchange.js';
import type {LimitStatement} from './types.js';

export type StatedRestrictionsOptions = {
	readonly ownHost: string;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly peers: PeerGroup;
	/** Whether the site lists this start of an endpoint. */
	readonly isListed: (start: EndpointStart) => boolean;
	readonly send: (outgoing: readonly OutgoingDatagram[]) => void;
	/** Called when requests that wait for permission may be sent. */
	readonly onGranted: () => void;
	/** Called with the name of each kind of statement that was received. */
	readonly onStatement: (kind: string) => void;
	/** Returns a random number from 0 to below 1. */
	readonly random: () => number;
};

/** Restricts the use of endpoints by what they have stated in responses: keeps the statements, exchanges them with the other instances, and obtains permits for endpoints that name a limit. */
export class StatedRestrictions implements EndpointRestrictions {
	static create(options: StatedRestrictionsOptions): StatedRestrictions {
		return new StatedRestrictions(options);
	}

	readonly exchange: StatementExchange;
	readonly permits: PermitExchange;
	readonly #statements: EndpointStatements;

	private constructor(private readonly options: StatedRestrictionsOptions) {
		const {ownHost, clock, log, peers, send, onGranted, onStatement, random} = options;
		this.#statements = EndpointStatements.create({
			ownHost,
			clock,
			log,
			onNews: reports => {
				send(this.exchange.publish(reports, clock.now()));
			},
			onStatement,
		});
		this.exchange = StatementExchange.create({
			peers, ownHost, statements: this.#statements, random,
		});
		this.permits = PermitExchange.create({
			ownHost, peers, statements: this.#statements, clock, send, onGranted,
		});
	}

	/**
	Records what an endpoint has stated in a response to this instance.

	@param completedSentAt when the request was sent, if the response is a success
	*/
	record(start: EndpointStart, statement: EndpointStatement, completedSentAt?: Milliseconds): void {
		this.#statements.record(start, statement, completedSentAt);
	}

	isLeaving(start: EndpointStart): boolean {
		return this.#statements.isLeaving(start);
	}

	retryAt(start: EndpointStart): Milliseconds {
		return this.#statements.retryAt(start);
	}

	findLimit(start: EndpointStart): LimitStatement | undefined {
		return this.#statements.findLimit(start);
	}

	isLimited(start: EndpointStart): boolean {
		return this.findLimit(start) !== undefined;
	}

	ensurePermit(start: EndpointStart): boolean {
		return this.permits.ensure(start);
	}

	hasPermit(start: EndpointStart): boolean {
		return this.permits.has(start);
	}

	takePermit(start: EndpointStart): void {
		this.permits.take(start);
	}

	handlePeerChanges(changes: readonly PeerChange[]): void {
		for (const {kind, host} of changes) {
			if (greetedChanges.has(kind)) {
				this.options.send(this.exchange.greet(host, this.options.clock.now()));
			}
		}
	}

	/** Gives permits to the instances that wait for them. Called periodically. */
	givePermits(): void {
		this.options.send(this.permits.tick());
	}

	/** Forgets what concerns endpoints that are gone. Called periodically. */
	expire(): void {
		this.#statements.expire(this.options.isListed);
	}

	/** What holds now, for operators. */
	status(): StatementStatus[] {
		return this.#statements.status(this.options.isListed);
	}
}
