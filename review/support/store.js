/** Stand-in of the platform's store: a list of items with one revision counter. */
/* eslint-disable camelcase -- the platform chooses the names in the documents */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const pageSize = 500;

/** An in-memory store that answers `GET /api/kv-range` and `GET /api/kv-key`. */
export class Store {
	static async listen(host) {
		const store = new Store();
		store.#server = createServer((request, response) => {
			store.#handle(request, response);
		});
		await new Promise(resolve => {
			store.#server.listen(0, host, resolve);
		});
		store.address = `${host}:${store.#server.address().port}`;
		return store;
	}

	address;
	#server;
	#revision = 1;
	#items = new Map();

	put(key, value) {
		this.#revision++;
		this.#items.set(key, {
			key,
			value: Buffer.from(JSON.stringify(value)).toString('base64'),
			revision: this.#revision,
			create_rev: this.#items.get(key)?.create_rev ?? this.#revision,
			lease: 0,
		});
	}

	remove(key) {
		this.#revision++;
		this.#items.delete(key);
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#handle({url, method}, response) {
		const {pathname, searchParams} = new URL(url, 'http://store');
		if (method === 'GET' && pathname === '/api/kv-range') {
			const prefix = searchParams.get('path_prefix') ?? '';
			const after = searchParams.get('after') ?? '';
			const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((a, b) => (a.key < b.key ? -1 : 1));
			this.#send(response, 200, {items: items.slice(0, pageSize), has_more: items.length > pageSize, store_revision: this.#revision});
		} else if (method === 'GET' && pathname === '/api/kv-key') {
			const item = this.#items.get(searchParams.get('key'));
			this.#send(response, item === undefined ? 404 : 200, item ?? {});
		} else {
			this.#send(response, 404, {});
		}
	}

	#send(response, status, value) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(value));
	}
}
