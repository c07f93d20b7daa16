/** Interfaces to the services of the platform. Each has one HTTP client that implements it. */

/** The configuration of one site at a revision of the configuration service. */
export type ConfigurationSnapshot = {
	/** Revision of the whole store, used as the version of the configuration. */
	readonly revision: number;
	readonly base: unknown;
	readonly overlay: unknown;
};

/** Read-only access to the configuration service. */
export type ConfigurationService = {
	/**
	Reads the current snapshot.

	@throws {PlatformError}
	*/
	readSnapshot(signal: AbortSignal): Promise<ConfigurationSnapshot>;
	/**
	Waits for a snapshot with a higher revision.

	@returns undefined when the service ended the watch without a change
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

/** The platform's list of live and leaving instances. It lags behind their actual state. */
export type InstanceListService = {
	/** @throws {PlatformError} */
	readListing(signal: AbortSignal): Promise<InstanceListing>;
};
