/** Stand-in of the platform's metadata store: a paged list of items with one revision counter. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {storeHeaders} from '../platform/names.js';
import {splitAddress, type SocketAddress} from '../src/shared/address.js';
import type {Disposable} from '../src/shared/disposable-store.js';
import {resetConnection, sendJson, StandInServer} from './stand-in-server.js';

/** A fault that replaces the normal response to every call. */
export type StoreFault
	= | {readonly kind: 'status'; readonly status: number}
		| {readonly kind: 'silent'}
		| {readonly kind: 'reset'}
		| {readonly kind: 'body'; readonly body: string};

type Item = {readonly key: string; readonly value: string; readonly revision: number; readonly create_rev: number; readonly lease: number};

/** The content of a store at one moment. */
export type StoreCopy = {
	readonly items: ReadonlyMap<string, Item>;
	readonly revision: number;
};

export type PlatformStoreOptions = {
	/** Default: 500. */
	readonly pageSize?: number;
};

const faultHandlers: {readonly [Kind in StoreFault['kind']]: (fault: Extract<StoreFault, {kind: Kind}>, request: IncomingMessage, response: ServerResponse) => void} = {
	status(fault, _request, response) {
		sendJson(response, fault.status, {});
	},
	silent() {
		// Only the caller's timeout ends the call.
	},
	reset(_fault, request) {
		resetConnection(request);
	},
	body(fault, _request, response) {
		response.end(fault.body);
	},
};

/** An in-memory store. */
export class PlatformStore implements Disposable {
	static async listen({pageSize = 500}: PlatformStoreOptions = {}): Promise<PlatformStore> {
		const store = new PlatformStore(pageSize);
		store.#server = await StandInServer.listen({
			routes: [{
				method: 'GET',
				pattern: /^\/api\/kv-range$/v,
				handle({url, response}) {
					store.#handleRange(url, response);
				},
			}],
			intercept: (request, response) => store.#intercept(request, response),
		});
		return store;
	}

	fault: StoreFault | undefined;
	/** Value of the era's header in all responses, in place of the era; undefined leaves the header out. */
	statedEra: {readonly value: string | undefined} | undefined;
	#server!: StandInServer;
	#items = new Map<string, Item>();
	#revision = 1;
	#era = 1;
	#calls = 0;

	private constructor(private readonly pageSize: number) {}

	get address(): SocketAddress {
		return splitAddress(this.#server.address);
	}

	get revision(): number {
		return this.#revision;
	}

	/** Number of calls so far, including failed ones. */
	get calls(): number {
		return this.#calls;
	}

	get era(): number {
		return this.#era;
	}

	/** Revision of an item; undefined if there is none. */
	revisionOf(key: string): number | undefined {
		return this.#items.get(key)?.revision;
	}

	copy(): StoreCopy {
		return {items: new Map(this.#items), revision: this.#revision};
	}

	/** Goes back to an older copy, which begins a new era. Later writes get revisions that other values had before. */
	restore({items, revision}: StoreCopy): void {
		this.#items = new Map(items);
		this.#revision = revision;
		this.#era++;
	}

	/** Writes an item of a copy again, under a new revision; removes it if the copy lacks it. */
	putFrom({items}: StoreCopy, key: string): void {
		const item = items.get(key);
		if (item === undefined) {
			this.remove(key);
		} else {
			this.putText(key, Buffer.from(item.value, 'base64').toString('utf8'));
		}
	}

	put(key: string, value: unknown): void {
		this.putText(key, JSON.stringify(value));
	}

	/** Writes a value that need not be JSON, as another writer might. */
	putText(key: string, text: string): void {
		this.#revision++;
		const createRevision = this.#items.get(key)?.create_rev ?? this.#revision;
		this.#items.set(key, {
			key,
			value: Buffer.from(text).toString('base64'),
			revision: this.#revision,
			create_rev: createRevision, // eslint-disable-line @typescript-eslint/naming-convention
			lease: 0,
		});
	}

	remove(key: string): void {
		this.#revision++;
		this.#items.delete(key);
	}

	async dispose(): Promise<void> {
		await this.#server.dispose();
	}

	#intercept(request: IncomingMessage, response: ServerResponse): boolean {
		this.#calls++;
		const era = this.statedEra === undefined ? String(this.#era) : this.statedEra.value;
		if (era !== undefined) {
			response.setHeader(storeHeaders.era, era);
		}

		if (this.fault === undefined) {
			return false;
		}

		const handleFault = faultHandlers[this.fault.kind] as (fault: StoreFault, request: IncomingMessage, response: ServerResponse) => void;
		handleFault(this.fault, request, response);
		return true;
	}

	#handleRange(url: URL, response: ServerResponse): void {
		const prefix = url.searchParams.get('path_prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		const remaining = [...this.#items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
		// eslint-disable-next-line @typescript-eslint/naming-convention
		sendJson(response, 200, {items: remaining.slice(0, this.pageSize), has_more: remaining.length > this.pageSize, store_revision: this.#revision});
	}
}
