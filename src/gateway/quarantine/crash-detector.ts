import {setTimeout as delay} from 'node:timers/promises';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {connectResults, type ConnectResult} from '../../shared/probe-connection.js';
import type {EndpointRecord} from '../site/types.js';
import {crashKey, type DetectedCrash, type Suspect} from './types.js';

/** Time from the first broken connection to the check, in which the other connections of a crashed process break too. */
const checkDelayMs: Milliseconds = 20;

/** Time for which a request that was cancelled at an endpoint remains a suspect: the endpoint may have begun it. */
const abandonedMs: Milliseconds = 1000;

const maximumAbandoned = 256;

/** Number of checks without a result after which nothing is concluded. */
const maximumChecks = 3;

type BrokenEndpoint = {
	readonly endpoint: EndpointRecord;
	readonly at: Milliseconds;
	readonly suspects: Suspect[];
};

export type CrashDetectorOptions = {
	readonly clock: Clock;
	/** Whether the process of the record is still meant to serve. One that leaves may close its connections. */
	readonly isServing: (endpoint: EndpointRecord) => boolean;
	readonly probe: (address: string) => Promise<ConnectResult>;
	readonly onCrash: (crash: DetectedCrash) => void;
};

/** Tells endpoints that crashed from lost responses: both break a connection, but only a crashed endpoint refuses new ones. */
export class CrashDetector {
	static create(options: CrashDetectorOptions): CrashDetector {
		return new CrashDetector(options);
	}

	/** Requests that were cancelled lately, in order of time. */
	#abandoned: Array<{readonly key: string; readonly suspect: Suspect; readonly at: Milliseconds}> = [];
	/** Endpoints that are being checked. */
	readonly #broken = new Map<string, BrokenEndpoint>();

	private constructor(private readonly options: CrashDetectorOptions) {}

	/** Records that the connection of a request broke before the endpoint was known to survive it. */
	recordBroken(endpoint: EndpointRecord, suspect: Suspect): void {
		const key = crashKey({endpointId: endpoint.id, startedAt: endpoint.startedAt});
		const known = this.#broken.get(key);
		if (known === undefined) {
			const broken = {endpoint, at: this.options.clock.now(), suspects: [suspect]};
			this.#broken.set(key, broken);
			void this.#check(key, broken);
		} else {
			known.suspects.push(suspect);
		}
	}

	/** Records that a request was cancelled at an endpoint that was not known to survive it. */
	recordAbandoned(endpoint: EndpointRecord, suspect: Suspect): void {
		this.#abandoned.push({key: crashKey({endpointId: endpoint.id, startedAt: endpoint.startedAt}), suspect, at: this.options.clock.now()});
		if (this.#abandoned.length > 2 * maximumAbandoned) {
			this.#abandoned = this.#abandoned.slice(-maximumAbandoned);
		}
	}

	async #check(key: string, {endpoint, at, suspects}: BrokenEndpoint): Promise<void> {
		const {isServing, probe, onCrash} = this.options;
		let result: ConnectResult = connectResults.unknown;
		for (let checks = 0; checks < maximumChecks && result === connectResults.unknown; checks++) {
			// eslint-disable-next-line no-await-in-loop -- each check follows the one before
			await delay(checkDelayMs);
			// eslint-disable-next-line no-await-in-loop
			result = await probe(endpoint.address);
		}

		this.#broken.delete(key);
		if (result === connectResults.refused && isServing(endpoint)) {
			const abandoned = this.#abandoned.filter(request => request.key === key && request.at >= at - abandonedMs).map(({suspect}) => suspect);
			onCrash({
				endpointId: endpoint.id, startedAt: endpoint.startedAt, at, suspects: [...suspects, ...abandoned],
			});
		}
	}
}
