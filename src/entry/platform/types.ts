/** What the entry needs from the platform. Each interface has one adapter. */

/** A snapshot of the configuration service for one site. */
export type ConfigurationSnapshot = {
	/** Store-wide revision; the configuration's version. */
	readonly revision: number;
	readonly base: unknown;
	readonly overlay: unknown;
};

/** Reads configuration. It can't write. */
export type ConfigurationService = {
	/**
	Reads the present snapshot.

	@throws {PlatformError}
	*/
	readSnapshot(signal: AbortSignal): Promise<ConfigurationSnapshot>;
	/**
	Waits for a snapshot with a higher revision.

	@returns undefined when the service ended the wait without a change
	@throws {PlatformError}
	*/
	watch(afterRevision: number, signal: AbortSignal): Promise<ConfigurationSnapshot | undefined>;
};

/** One instance on the platform's list. */
export type PlatformInstance = {
	readonly name: string;
	readonly role: 'entry' | 'endpoint';
	readonly state: 'live' | 'leaving';
	readonly availabilityZone: string;
	readonly addresses: {
		/** Host and port. */
		readonly callers?: string;
		readonly peers?: string;
		readonly operators?: string;
	};
};

export type InstanceListing = {
	readonly revision: number;
	readonly instances: readonly PlatformInstance[];
};

/** The platform's list of live and leaving instances. It lags. */
export type InstanceListService = {
	/** @throws {PlatformError} */
	readListing(signal: AbortSignal): Promise<InstanceListing>;
};
