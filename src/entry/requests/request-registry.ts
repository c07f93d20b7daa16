import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {PolicyConfiguration} from '../../shared/configuration/index.js';
import {
	createFailure, FailureError, outcomes, type Failure, type Outcome,
} from '../../shared/failure.js';
import type {Invariants} from '../../shared/invariants.js';
import {RequestId} from './request-id.js';
import {ResponseLog, type ResponseEvent} from './response-log.js';
import {isNeverDispatched, isFinal, allowedTransitions} from './state-machine.js';
import {requestStates, type RequestState, type ResponseSink} from './types.js';

/** The bounds of what the registry keeps. */
export type RegistryPolicy = Pick<PolicyConfiguration, 'retainedAnswerBytes' | 'retainedAnswerMilliseconds' | 'reservedIdMilliseconds'>;

export type RequestRegistryOptions = {
	readonly slot: string;
	readonly incarnation: string;
	readonly clock: Clock;
	readonly invariants: Invariants;
	readonly policy: RegistryPolicy;
	/** Maximum number of reserved ids, and of ended requests whose state is kept. Default: 10,000, about 10 MB. */
	readonly maximumRememberedIds?: number;
};

/** The part of a request's record that other modules may read. */
export type RequestRecord = {
	readonly requestId: string;
	readonly isKeyed: boolean;
	readonly state: RequestState;
	/** Why the request was refused or failed. */
	readonly failure?: Failure;
};

export type OpenResult
	= | {readonly kind: 'new'; readonly requestId: string}
		| {readonly kind: 'attach'; readonly record: RequestRecord}
		| {readonly kind: 'refused'; readonly failure: Failure};

export type OpenOptions = {
	/** The id that the caller sent as its idempotency key. Without it a new id is issued. */
	readonly requestId?: string;
	/** Digest of everything by which two requests count as the same, including the workspace. */
	readonly fingerprint: string;
};

type MutableRecord = {
	readonly requestId: string;
	readonly isKeyed: boolean;
	readonly log: ResponseLog;
	readonly issuedAt: Milliseconds;
	state: RequestState;
	fingerprint?: string;
	failure?: Failure;
	endedAt?: Milliseconds;
	dispatchCount: number;
};

/**
Keeps the state and the response of every request of this incarnation.

It does no I/O. The state machine ensures the invariants G1, G6 and G7: a request is dispatched at most once, a refused request never, and a refusal says "not run" only when that is certain.
*/
export class RequestRegistry {
	static create(options: RequestRegistryOptions): RequestRegistry {
		return new RequestRegistry(options);
	}

	readonly #slot: string;
	readonly #incarnation: string;
	readonly #clock: Clock;
	readonly #invariants: Invariants;
	readonly #maximumRememberedIds: number;
	readonly #records = new Map<string, MutableRecord>();
	/** Reserved ids in the order in which they were issued. */
	readonly #reservedIds = new Set<string>();
	/** Ended requests in the order in which they ended. */
	readonly #endedIds = new Set<string>();
	/** Ended keyed requests whose responses are retained, in the order in which they ended. */
	readonly #retainedIds = new Set<string>();
	#policy: RegistryPolicy;
	#lastCounter = 0;
	#retainedBytes = 0;

	private constructor(options: RequestRegistryOptions) {
		this.#slot = options.slot;
		this.#incarnation = options.incarnation;
		this.#clock = options.clock;
		this.#invariants = options.invariants;
		this.#policy = options.policy;
		this.#maximumRememberedIds = options.maximumRememberedIds ?? 10_000;
	}

	/** Bytes of the responses to keyed requests that are in memory. Each unkeyed response has its own bound. */
	get retainedBytes(): number {
		return this.#retainedBytes;
	}

	/** Requests that are waiting, dispatching or streaming. */
	get openCount(): number {
		return this.#records.size - this.#reservedIds.size - this.#endedIds.size;
	}

	/** Sets the bounds of a new configuration and removes what exceeds them. */
	setPolicy(policy: RegistryPolicy): void {
		this.#policy = policy;
		this.sweep();
	}

	/** Whether this incarnation issued the id. If so, no other may dispatch the request. */
	hasIssued(requestId: string): boolean {
		const parts = RequestId.parse(requestId);
		return parts?.slot === this.#slot && parts.incarnation === this.#incarnation && parts.counter <= this.#lastCounter;
	}

	/** Whether the id contains this slot and incarnation, issued or not. */
	namesThisIncarnation(requestId: string): boolean {
		const parts = RequestId.parse(requestId);
		return parts?.slot === this.#slot && parts.incarnation === this.#incarnation;
	}

	/** Returns an unused id for a request that is refused before it is opened. The id can't be opened later. */
	nextId(): string {
		this.#lastCounter++;
		return RequestId.create({slot: this.#slot, incarnation: this.#incarnation, counter: this.#lastCounter}).toString();
	}

	/**
	Reserves an id for a keyed request.

	@throws {FailureError} `overloaded` when too many ids are reserved
	*/
	reserveId(): string {
		if (this.#reservedIds.size >= this.#maximumRememberedIds) {
			this.sweep();
		}

		if (this.#reservedIds.size >= this.#maximumRememberedIds) {
			throw FailureError.create('overloaded', `${this.#reservedIds.size} request ids are reserved and not used`);
		}

		const record = this.#createRecord(true);
		this.#reservedIds.add(record.requestId);
		return record.requestId;
	}

	/** Opens a request: a new one, or an existing one that the caller is attached to. */
	open({requestId, fingerprint}: OpenOptions): OpenResult {
		if (requestId === undefined) {
			const record = this.#createRecord(false);
			record.fingerprint = fingerprint;
			record.state = requestStates.waiting;
			return {kind: 'new', requestId: record.requestId};
		}

		this.sweep();
		const record = this.#records.get(requestId);
		if (!record?.isKeyed) {
			return {kind: 'refused', failure: this.#unknownKeyFailure(requestId)};
		}

		if (record.state === requestStates.reserved) {
			record.fingerprint = fingerprint;
			record.state = requestStates.waiting;
			this.#reservedIds.delete(requestId);
			return {kind: 'new', requestId};
		}

		return this.#openExisting(record, fingerprint);
	}

	/** Closes an issued id whose request is refused before it is opened, so that no retry with the id can run after a caller was told that the request has not. An id that is already open or closed is left unchanged. */
	closeReservedId(requestId: string, failure: Failure): void {
		const record = this.#records.get(requestId);
		if (record?.state === requestStates.reserved) {
			this.#failRequest(record, {...failure, detail: `${failure.detail}; this request id is closed`});
		}
	}

	/** Returns undefined when the id was never issued or its record was removed. */
	findRecord(requestId: string): RequestRecord | undefined {
		const record = this.#records.get(requestId);
		return record && {
			requestId: record.requestId, isKeyed: record.isKeyed, state: record.state, failure: record.failure,
		};
	}

	/** What is known about the request now. A request whose id is unknown here may have run. */
	outcome(requestId: string): Outcome {
		const record = this.#records.get(requestId);
		if (record === undefined) {
			return outcomes.unknown;
		}

		if (record.state === requestStates.completed) {
			return outcomes.completed;
		}

		// A reserved id can still be opened and a waiting request dispatched, so only refused requests are certain never to run.
		return record.state === requestStates.refused ? outcomes.notRun : outcomes.unknown;
	}

	/** Whether the request may enter `dispatching`. */
	mayDispatch(requestId: string): boolean {
		return this.#records.get(requestId)?.state === requestStates.waiting;
	}

	/**
	Moves a request to another state. A transition to the current state is allowed, except for `dispatching`.

	A retry of an idempotent request leaves the state `dispatching` unchanged.

	@returns false when the state machine does not allow it; the state is unchanged then
	@throws {InvariantError} in mode `throw`, when the state machine does not allow it
	*/
	transition(requestId: string, state: RequestState): boolean {
		const record = this.#records.get(requestId);
		if (record === undefined) {
			this.#invariants.check('G1', state !== requestStates.dispatching, () => `unknown request ${requestId} must not be dispatched`);
			return false;
		}

		if (record.state === state && state !== requestStates.dispatching) {
			return true;
		}

		if (!allowedTransitions[record.state].includes(state)) {
			this.#reportInvalidTransition(record, state);
			return false;
		}

		this.#enterState(record, state);
		return true;
	}

	/** Creates the sink that receives the response of the request. The sink also changes the state: to `streaming` at the head, to a final state at the end. */
	createSink(requestId: string): ResponseSink {
		const record = this.#requireRecord(requestId);
		return {
			start: head => {
				if (!isFinal(record.state) && this.transition(requestId, requestStates.streaming)) {
					record.log.start(head);
				}
			},
			write: chunk => {
				if (record.state === requestStates.streaming) {
					record.log.write(chunk);
					this.#enforceRetainedBytes(record);
				}
			},
			complete: () => {
				if (record.log.end === undefined && this.transition(requestId, requestStates.completed)) {
					record.log.finish({kind: 'complete'});
				}
			},
			fail: failure => {
				this.#failRequest(record, failure);
			},
			ready: async () => record.log.ready(),
		};
	}

	/**
	Reads the response from its start. Any number of readers may read a keyed request.

	@throws {FailureError} `unknown-request` or `answer-no-longer-held`
	*/
	readResponse(requestId: string): AsyncIterableIterator<ResponseEvent> {
		const record = this.#requireRecord(requestId);
		if (!record.log.isReadableFromStart) {
			throw FailureError.from(this.#notRetainedFailure(record));
		}

		return record.log.read();
	}

	/** Removes records and responses that are older than the policy allows or exceed its bounds. */
	sweep(): void {
		const now = this.#clock.now();
		for (const requestId of this.#reservedIds) {
			const record = this.#records.get(requestId)!;
			if (now - record.issuedAt < this.#policy.reservedIdMilliseconds) {
				break;
			}

			this.#failRequest(record, createFailure('unknown-request', 'the reserved id was not used in time', {requestId, outcome: outcomes.notRun}));
		}

		this.#removeEnded();
		this.#enforceRetainedBytes();
	}

	#createRecord(isKeyed: boolean): MutableRecord {
		const log = ResponseLog.create({
			isRetained: isKeyed,
			onBytes: change => {
				this.#retainedBytes += isKeyed ? change : 0;
			},
		});
		const record: MutableRecord = {
			requestId: this.nextId(), isKeyed, log, issuedAt: this.#clock.now(), state: requestStates.reserved, dispatchCount: 0,
		};
		this.#records.set(record.requestId, record);
		return record;
	}

	#requireRecord(requestId: string): MutableRecord {
		const record = this.#records.get(requestId);
		if (record === undefined) {
			throw FailureError.create('unknown-request', `${requestId} is not known here`, {requestId});
		}

		return record;
	}

	#openExisting(record: MutableRecord, fingerprint: string): OpenResult {
		const {requestId} = record;
		if (record.fingerprint === undefined) {
			return {kind: 'refused', failure: record.failure ?? this.#unknownKeyFailure(requestId)};
		}

		if (record.fingerprint !== fingerprint) {
			const detail = 'another request was sent with this id before';
			return {kind: 'refused', failure: createFailure('idempotency-key-reused', detail, {requestId, outcome: this.outcome(requestId)})};
		}

		if (!record.log.isReadableFromStart) {
			return {kind: 'refused', failure: this.#notRetainedFailure(record)};
		}

		return {kind: 'attach', record: this.findRecord(requestId)!};
	}

	/** The failure for an idempotency key that has no keyed record. */
	#unknownKeyFailure(requestId: string): Failure {
		const record = this.#records.get(requestId);
		if (record !== undefined) {
			return createFailure('idempotency-key-not-issued', 'the id was not issued as an idempotency key', {requestId, outcome: this.outcome(requestId)});
		}

		if (this.hasIssued(requestId)) {
			return createFailure('unknown-request', 'the id is no longer remembered', {requestId});
		}

		return createFailure('idempotency-key-not-issued', 'this incarnation has not issued the id', {requestId});
	}

	#notRetainedFailure(record: MutableRecord): Failure {
		const {requestId} = record;
		return createFailure('answer-no-longer-held', `the request is ${record.state}, its response is not retained`, {requestId, outcome: this.outcome(requestId)});
	}

	#reportInvalidTransition(record: MutableRecord, state: RequestState): void {
		const detail = () => `${record.requestId} must not go from ${record.state} to ${state}`;
		if (state === requestStates.dispatching) {
			this.#invariants.check(record.dispatchCount > 0 ? 'G7' : 'G1', false, detail);
			return;
		}

		this.#invariants.check(state === requestStates.refused ? 'G6' : 'G1', false, detail);
	}

	#enterState(record: MutableRecord, state: RequestState): void {
		if (state === requestStates.dispatching) {
			this.#invariants.check('G1', record.dispatchCount === 0, () => `${record.requestId} is dispatched twice`);
			record.dispatchCount++;
		}

		this.#reservedIds.delete(record.requestId);
		record.state = state;
		if (isFinal(state)) {
			this.#invariants.check('G6', state !== requestStates.refused || record.dispatchCount === 0, () => `${record.requestId} is refused but was dispatched`);
			record.endedAt = this.#clock.now();
			this.#endedIds.add(record.requestId);
			if (record.isKeyed && record.log.isReadableFromStart) {
				this.#retainedIds.add(record.requestId);
			}

			this.#removeEnded();
		}
	}

	#failRequest(record: MutableRecord, failure: Failure): void {
		if (record.log.end !== undefined) {
			return;
		}

		const isNotRun = isNeverDispatched(record.state);
		this.#invariants.check('G6', isNotRun || failure.outcome !== outcomes.notRun, () => `${record.requestId} is ${record.state}, so ${failure.type} must not say not-run`);
		const {requestId} = record;
		const recordedFailure: Failure = {...failure, requestId, outcome: this.#outcomeAfterFailure(failure, isNotRun)};
		record.failure = recordedFailure;
		if (!isFinal(record.state)) {
			this.#enterState(record, this.#stateAfterFailure(record));
		}

		record.log.finish({kind: 'failure', failure: recordedFailure});
	}

	/** A request that fails before it was dispatched can never run; one that was dispatched may have. */
	#outcomeAfterFailure(failure: Failure, isNotRun: boolean): Outcome {
		if (isNotRun) {
			return outcomes.notRun;
		}

		return failure.outcome === outcomes.notRun ? outcomes.unknown : failure.outcome;
	}

	#stateAfterFailure(record: MutableRecord): RequestState {
		if (isNeverDispatched(record.state)) {
			return requestStates.refused;
		}

		// Once the endpoint has started to respond, it is certain that the request ran.
		return record.state === requestStates.streaming ? requestStates.failed : requestStates.unknown;
	}

	/** Drops the oldest retained responses while they exceed the byte bound. If that is not enough, stops retaining the response that is being written. */
	#enforceRetainedBytes(writing?: MutableRecord): void {
		for (const requestId of this.#retainedIds) {
			if (this.#retainedBytes <= this.#policy.retainedAnswerBytes) {
				return;
			}

			this.#retainedIds.delete(requestId);
			this.#records.get(requestId)?.log.stopRetaining();
		}

		if (writing?.isKeyed && this.#retainedBytes > this.#policy.retainedAnswerBytes) {
			writing.log.stopRetaining();
		}
	}

	/** Removes ended requests beyond the bounds of time and number, oldest first. */
	#removeEnded(): void {
		const now = this.#clock.now();
		for (const requestId of this.#endedIds) {
			const isOld = now - this.#records.get(requestId)!.endedAt! >= this.#policy.retainedAnswerMilliseconds;
			if (!isOld && this.#endedIds.size <= this.#maximumRememberedIds) {
				break;
			}

			this.#removeRecord(requestId);
		}
	}

	#removeRecord(requestId: string): void {
		this.#records.get(requestId)?.log.stopRetaining();
		this.#records.delete(requestId);
		this.#endedIds.delete(requestId);
		this.#retainedIds.delete(requestId);
	}
}
