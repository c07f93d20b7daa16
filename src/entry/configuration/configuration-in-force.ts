/** The configuration version in force at this entry and the rules for replacing it. */
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {
	digestOf, type CheckResult, type Configuration, type ConfigurationChange, type ConfigurationProblem,
} from '../../shared/configuration/index.js';
import type {Invariants} from '../../shared/invariants.js';

/** Functions of `src/shared/configuration` that merge, validate and compare documents. */
export type ConfigurationFunctions = {
	readonly mergeOverlay: (base: unknown, overlay: unknown) => unknown;
	readonly checkDocument: (merged: unknown, options: {readonly file: string}) => CheckResult;
	readonly differenceBetween: (before: unknown, after: unknown) => ConfigurationChange[];
};

/** A configuration as sent by the configuration service or a peer. */
export type ConfigurationDocument = {
	/** Revision of the configuration service. */
	readonly version: number;
	readonly base: unknown;
	readonly overlay: unknown;
};

export type ConfigurationOffer = ConfigurationDocument & {
	/** Sender of the document, for reports: `service` or a peer's slot. */
	readonly source: string;
};

export type OfferResult
	= | {readonly kind: 'adopted'; readonly difference: ConfigurationChange[]}
		| {readonly kind: 'unchanged'}
		| {readonly kind: 'older'}
		| {readonly kind: 'conflict'}
		| {readonly kind: 'invalid'; readonly problems: ConfigurationProblem[]};

export type CurrentConfiguration = ConfigurationDocument & {
	/** SHA-256 over base and overlay with sorted keys, in hexadecimal. */
	readonly digest: string;
	readonly configuration: Configuration;
	readonly source: string;
	readonly adoptedAt: Milliseconds;
};

export type ConfigurationInForceOptions = ConfigurationFunctions & {
	readonly site: string;
	readonly clock: Clock;
	readonly invariants: Invariants;
};

/** Holds the highest valid version received. A version is never replaced by a lower one. */
export class ConfigurationInForce {
	static create(options: ConfigurationInForceOptions): ConfigurationInForce {
		return new ConfigurationInForce(options);
	}

	#current: CurrentConfiguration | undefined;

	private constructor(private readonly options: ConfigurationInForceOptions) {}

	current(): CurrentConfiguration | undefined {
		return this.#current;
	}

	/** Adopts the document when it is valid and newer than the one in force. */
	offer(offer: ConfigurationOffer): OfferResult {
		const current = this.#current;
		if (current && offer.version < current.version) {
			return {kind: 'older'};
		}

		const digest = digestOf(offer.base, offer.overlay);
		if (current?.version === offer.version) {
			return {kind: current.digest === digest ? 'unchanged' : 'conflict'};
		}

		const result = this.#checkOffer(offer);
		return result.ok ? this.#adopt(offer, digest, result.configuration) : {kind: 'invalid', problems: result.problems};
	}

	#checkOffer(offer: ConfigurationOffer): CheckResult {
		const {site, mergeOverlay, checkDocument} = this.options;
		return checkDocument(mergeOverlay(offer.base, offer.overlay), {file: `${site}@${offer.version}`});
	}

	#adopt(offer: ConfigurationOffer, digest: string, configuration: Configuration): OfferResult {
		const previous = this.#current;
		this.options.invariants.check('G10', previous === undefined || offer.version > previous.version, () => `version ${offer.version} would replace ${previous?.version}`);
		this.#current = {
			version: offer.version,
			base: offer.base,
			overlay: offer.overlay,
			source: offer.source,
			digest,
			configuration,
			adoptedAt: this.options.clock.now(),
		};
		return {kind: 'adopted', difference: this.options.differenceBetween(previous?.configuration, configuration)};
	}
}
