/** Watches the configuration service and offers its documents, and those of peers, to the configuration in force. */
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {digestOf, type ConfigurationChange, type ConfigurationProblem} from '../../shared/configuration/index.js';
import type {Logger} from '../../shared/log.js';
import type {Mailbox} from '../../shared/message-loop.js';
import {Backoff} from '../platform/backoff.js';
import {PlatformError, platformErrorTypes, type PlatformErrorType} from '../platform/platform-error.js';
import {ReadLoop} from '../platform/read-loop.js';
import {SourceHealth, type SourceStatus} from '../platform/source-health.js';
import type {ConfigurationService, ConfigurationSnapshot} from '../platform/types.js';
import type {
	ConfigurationInForce, ConfigurationOffer, CurrentConfiguration, OfferResult,
} from './configuration-in-force.js';

export type ConfigurationMessage
	= | {readonly kind: 'configuration-changed'; readonly current: CurrentConfiguration; readonly difference: ConfigurationChange[]; readonly source: string}
		| {readonly kind: 'configuration-rejected'; readonly version: number; readonly source: string; readonly problems: ConfigurationProblem[]}
		/** A document has the version in force and other contents. */
		| {readonly kind: 'configuration-conflict'; readonly version: number; readonly source: string; readonly digestInForce: string; readonly otherDigest: string}
		/** A version lower than the one in force was ignored. */
		| {readonly kind: 'configuration-backward'; readonly version: number; readonly versionInForce: number; readonly source: string}
		| {readonly kind: 'configuration-service-unavailable'; readonly failureType: PlatformErrorType; readonly detail: string}
		| {readonly kind: 'configuration-service-restored'; readonly failures: number};

export type ConfigurationWatchTaskOptions = {
	readonly service: ConfigurationService;
	readonly inForce: ConfigurationInForce;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly mailbox: Mailbox<ConfigurationMessage>;
	/** Uniform numbers from 0 to 1 for the jitter of the backoff. Default: `Math.random`. */
	readonly random?: () => number;
};

/** `source` of documents that come from the configuration service. */
export const serviceSource = 'service';

/** A shorter watch without a new version is followed by a backoff, so that a faulty service is not read in a tight loop. */
const minimumWatchMs: Milliseconds = 1000;

/** Offers that were not adopted are remembered by source and version up to this number, so that each is reported only once. */
const maximumReportedOffers = 256;

export class ConfigurationWatchTask {
	static create(options: ConfigurationWatchTaskOptions): ConfigurationWatchTask {
		return new ConfigurationWatchTask(options);
	}

	readonly #health: SourceHealth;
	readonly #backoff: Backoff;
	readonly #readLoop = ReadLoop.create(async signal => this.#readOrWatch(signal));
	readonly #reportedOffers = new Set<string>();
	#mustReadSnapshot = true;
	#serviceRevision: number | undefined;

	private constructor(private readonly options: ConfigurationWatchTaskOptions) {
		this.#health = SourceHealth.create(options.clock);
		this.#backoff = Backoff.create({random: options.random});
	}

	/** Whether the configuration service responds. */
	get status(): SourceStatus {
		return this.#health.status;
	}

	/** Revision of the service's latest response; undefined before the first one. */
	get serviceRevision(): number | undefined {
		return this.#serviceRevision;
	}

	start(): void {
		this.#readLoop.start();
	}

	/**
	Offers a document to the configuration in force and posts the result. Documents from peers are offered here too.

	@param offer the document, with `service` or the peer's slot as its source
	*/
	offer(offer: ConfigurationOffer): OfferResult {
		const result = this.options.inForce.offer(offer);
		const message = this.#messageFor(offer, result);
		if (message) {
			this.#post(message);
		}

		return result;
	}

	async dispose(): Promise<void> {
		await this.#readLoop.dispose();
	}

	/** @returns the wait before the next read or watch */
	async #readOrWatch(signal: AbortSignal): Promise<Milliseconds> {
		const startedAt = this.options.clock.now();
		const isWatch = this.#canWatch();
		try {
			const snapshot = await this.#requestSnapshot(isWatch, signal);
			this.#mustReadSnapshot = false;
			this.#reportHealth(this.#health.recordSuccess());
			const isAdopted = snapshot !== undefined && this.#offerSnapshot(snapshot);
			return !isWatch && this.#canWatch() ? 0 : this.#waitAfterResponse(isAdopted, startedAt);
		} catch (error) {
			return this.#waitAfterFailure(error, signal);
		}
	}

	/** A snapshot is read at the start and after each failure; otherwise the task watches for the next change. */
	#canWatch(): boolean {
		return this.options.inForce.current() !== undefined && !this.#mustReadSnapshot;
	}

	async #requestSnapshot(isWatch: boolean, signal: AbortSignal): Promise<ConfigurationSnapshot | undefined> {
		const {service, inForce} = this.options;
		return isWatch ? service.watch(inForce.current()?.version ?? 0, signal) : service.readSnapshot(signal);
	}

	#offerSnapshot({revision, base, overlay}: ConfigurationSnapshot): boolean {
		this.#serviceRevision = revision;
		const {kind} = this.offer({
			version: revision, base, overlay, source: serviceSource,
		});
		return kind === 'adopted';
	}

	#waitAfterResponse(isAdopted: boolean, startedAt: Milliseconds): Milliseconds {
		const wasLongEnough = this.options.clock.now() - startedAt >= minimumWatchMs;
		if (isAdopted || wasLongEnough) {
			this.#backoff.reset();
			return 0;
		}

		return this.#backoff.next();
	}

	#waitAfterFailure(error: unknown, signal: AbortSignal): Milliseconds {
		if (signal.aborted) {
			return 0;
		}

		const isWatchTimeout = !this.#mustReadSnapshot && error instanceof PlatformError && error.type === platformErrorTypes.timeout;
		this.#mustReadSnapshot = true;
		if (isWatchTimeout) {
			// A healthy service may hold a watch for longer than this client waits, so the next snapshot decides whether it has failed.
			return 0;
		}

		this.#reportHealth(this.#health.recordFailure(error));
		return this.#backoff.next();
	}

	#messageFor(offer: ConfigurationOffer, result: OfferResult): ConfigurationMessage | undefined {
		const current = this.options.inForce.current();
		const {version, source} = offer;
		if (result.kind === 'adopted' && current) {
			this.#reportedOffers.clear();
			return {
				kind: 'configuration-changed', current, difference: result.difference, source,
			};
		}

		if (result.kind === 'unchanged' || !this.#isFirstReport(`${result.kind} ${source} ${version}`)) {
			return undefined;
		}

		const messages = {
			older: () => ({
				kind: 'configuration-backward', version, versionInForce: current?.version ?? 0, source,
			} as const),
			conflict: () => ({
				kind: 'configuration-conflict', version, source, digestInForce: current?.digest ?? '', otherDigest: digestOf(offer.base, offer.overlay),
			} as const),
			invalid: () => ({
				kind: 'configuration-rejected', version, source, problems: result.kind === 'invalid' ? result.problems : [],
			} as const),
			adopted: () => undefined,
		};
		return messages[result.kind]();
	}

	#isFirstReport(offerKey: string): boolean {
		if (this.#reportedOffers.has(offerKey)) {
			return false;
		}

		if (this.#reportedOffers.size >= maximumReportedOffers) {
			this.#reportedOffers.clear();
		}

		this.#reportedOffers.add(offerKey);
		return true;
	}

	#reportHealth(change: ReturnType<SourceHealth['recordFailure']>): void {
		if (change?.kind === 'unavailable') {
			this.#post({...change, kind: 'configuration-service-unavailable'});
		} else if (change) {
			this.#post({...change, kind: 'configuration-service-restored'});
		}
	}

	#post(message: ConfigurationMessage): void {
		if (message.kind === 'configuration-changed') {
			const {current, difference, source} = message;
			this.options.logger.info({
				version: current.version, digest: current.digest, source, changes: difference.length,
			}, message.kind);
		} else {
			const {kind, ...fields} = message;
			this.options.logger.warn(fields, kind);
		}

		this.options.mailbox.post(message);
	}
}
