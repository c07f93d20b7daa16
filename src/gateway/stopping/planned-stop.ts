import {setTimeout as delay} from 'node:timers/promises';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {CallerServer} from '../callers/caller-server.js';
import type {EventLog} from '../observability/event-log.js';
import {createStopSchedule, type StopRequestTime, type StopSchedule} from './stop-schedule.js';

/** Interval at which the conditions for the end of a stage are checked. */
const checkIntervalMs: Milliseconds = 50;

/** Time after the end of the listener in which requests on connections that were accepted before are awaited. */
const lastRequestsMs: Milliseconds = 300;

export type PlannedStopOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** Time between the request to stop and the kill. */
	readonly graceMs: Milliseconds;
	readonly callerServer: CallerServer;
	/** Number of requests that wait or are under way. */
	readonly countRequests: () => number;
	/** Answers all requests that wait or are under way. */
	readonly endRequests: () => void;
	/** Tells the other instances that this one leaves. */
	readonly announceLeaving: () => void;
};

/** Takes the process from the request to stop to the moment at which it can exit without cutting a request that it could have answered. */
export class PlannedStop {
	static create(options: PlannedStopOptions): PlannedStop {
		return new PlannedStop(options);
	}

	#schedule: StopSchedule | undefined;
	#finished: Promise<void> | undefined;

	private constructor(private readonly options: PlannedStopOptions) {}

	get isRequested(): boolean {
		return this.#schedule !== undefined;
	}

	get acceptsRequests(): boolean {
		return this.#schedule === undefined || this.options.clock.now() <= this.#schedule.acceptUntil;
	}

	/** Whether a request that is expected to run for this time may be sent to an endpoint now. */
	allowsDispatch(expectedRunMs: Milliseconds): boolean {
		if (this.#schedule === undefined) {
			return true;
		}

		const now = this.options.clock.now();
		return now <= this.#schedule.dispatchUntil && now + expectedRunMs <= this.#schedule.endRequestsAt;
	}

	/** Resolves when the process can exit. Repeated calls wait for the same stop. */
	async run(requested: StopRequestTime): Promise<void> {
		this.#finished ??= this.#run(requested);
		await this.#finished;
	}

	async #run(requested: StopRequestTime): Promise<void> {
		const {clock, log, graceMs, callerServer, countRequests, endRequests} = this.options;
		const afterMs = () => Math.round(clock.now() - requested.latest);
		const schedule = createStopSchedule(requested, graceMs);
		this.#schedule = schedule;
		log.event('stopping', {openRequests: callerServer.openRequests, running: countRequests(), readLateMs: Math.round(requested.latest - requested.earliest)});
		callerServer.beginStop();
		// A caller whose idle connection is closed reconnects to another instance; a later request on the connection would have to be refused.
		setTimeout(() => {
			void callerServer.closeIdleConnections();
		}, Math.max(0, schedule.acceptUntil - clock.now())).unref();
		await this.#waitUntil(() => clock.now() > schedule.listenUntil && callerServer.openRequests === 0, schedule.endRequestsAt);
		if (countRequests() > 0) {
			log.event('ending-requests', {openRequests: callerServer.openRequests, running: countRequests(), afterMs: afterMs()});
			endRequests();
		}

		await this.#close(schedule.exitAt, afterMs);
		this.options.announceLeaving();
		log.event('stopped', {openRequests: callerServer.openRequests, afterMs: afterMs()});
	}

	/** Accepts nothing more, and waits until the responses are handed to the operating system. */
	async #close(exitAt: Milliseconds, afterMs: () => number): Promise<void> {
		const {clock, log, callerServer} = this.options;
		let isClosed = false;
		void callerServer.close().then(() => {
			isClosed = true;
		});
		let listenedUntil: Milliseconds | undefined;
		log.event('closing', {openRequests: callerServer.openRequests, afterMs: afterMs()});
		await this.#waitUntil(() => {
			if (isClosed || callerServer.isListening) {
				return isClosed;
			}

			listenedUntil ??= clock.now();
			return callerServer.openRequests === 0 && clock.now() - listenedUntil >= lastRequestsMs;
		}, exitAt);
	}

	/** Requests and responses that arrived while this process was busy are read before the condition is judged, but callers that connect all the time don't delay the deadline. */
	async #waitUntil(isDone: () => boolean, deadlineAt: Milliseconds): Promise<void> {
		const {clock, callerServer} = this.options;
		const remainingMs = () => Math.max(0, deadlineAt - clock.now());
		do {
			// eslint-disable-next-line no-await-in-loop
			await delay(Math.min(checkIntervalMs, remainingMs()));
			if (remainingMs() === 0) {
				return;
			}

			// Reading takes a few rounds of the event loop, which may be long.
			// eslint-disable-next-line no-await-in-loop
			await Promise.race([callerServer.readArrivedRequests(remainingMs()), delay(remainingMs(), undefined, {ref: false})]);
		} while (remainingMs() > 0 && !isDone());
	}
}
