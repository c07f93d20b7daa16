import type {InstanceListing} from './types.js';

/** The data that the entry uses of the platform's instance list. */
export type InstanceView = {
	/** Peer addresses (host and port) of all listed entries. */
	readonly entryPeerAddresses: readonly string[];
	/** Endpoints that get no new requests. */
	readonly leavingEndpoints: ReadonlySet<string>;
};

/**
Derives from successive listings which endpoints are leaving.

An endpoint that was listed before and is missing now counts as leaving. One that was never listed counts as live, because the list lags and may not have a new endpoint yet.
*/
export class InstanceDirectory {
	static create(): InstanceDirectory {
		return new InstanceDirectory();
	}

	readonly #listedEndpoints = new Set<string>();

	private constructor() {}

	applyListing({instances}: InstanceListing): InstanceView {
		const endpoints = instances.filter(({role}) => role === 'endpoint');
		const liveEndpoints = new Set(endpoints.filter(({state}) => state === 'live').map(({name}) => name));
		for (const {name} of endpoints) {
			this.#listedEndpoints.add(name);
		}

		return {
			entryPeerAddresses: instances.flatMap(({role, addresses}) => role === 'entry' && addresses.peers !== undefined ? [addresses.peers] : []),
			leavingEndpoints: new Set([...this.#listedEndpoints].filter(name => !liveEndpoints.has(name))),
		};
	}
}
