/** Documents of a small deployment: its configuration, the records of its workers, and requests of its clients. */
/* eslint-disable camelcase -- the platform chooses the names in the documents */
import {randomBytes} from 'node:crypto';
import {setInterval} from 'node:timers';

export const host = 'kits.example';
export const key = 'key-of-tenant-one';

const heartbeatMs = 1200;

const baseRoute = {
	host, target_latency_ms: 500, priority: 0, allow_anonymous: false,
};

/** One route of each kind. */
export const configuration = {
	version: 7,
	routes: [
		{
			...baseRoute, name: 'drafts', path_prefix: '/drafts/', kind: 'streaming', service: 'engines', timeout_ms: 12_000, max_attempts: 2, resumable: true, gap_aim_ms: 200, sticky_sessions: true,
		},
		{
			...baseRoute, name: 'orders', path_prefix: '/orders/', kind: 'non_idempotent', service: 'kit-orders', timeout_ms: 4000, max_attempts: 1,
		},
		{
			...baseRoute, name: 'stock', path_prefix: '/stock/', kind: 'idempotent', service: 'kit-orders', timeout_ms: 4000, max_attempts: 2,
		},
	],
	services: [
		{
			name: 'engines', health_path: '/health', max_connections: 360, cold_start_s: 3, cold_per_s: 21,
		},
		{
			name: 'kit-orders', health_path: '/health', max_connections: 100, cold_start_s: 0, cold_per_s: 0,
		},
	],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
	tenants: [{
		name: 'tenant-one', api_keys: [key], priority: 0, unit: 'tokens', plain_tokens: 200, rate_per_s: 1_000_000, burst: 2_000_000,
	}],
};

/** Keeps the record of a worker in the store, as the worker would. Returns what ends that. */
export function keepRecord(store, id, record) {
	const born = Date.now() - 60_000;
	let sequence = 0;
	const write = () => {
		sequence++;
		store.put(`servers/${id}`, {
			version: 'v1', slots: 13, state: 'ready', cold_remaining_ms: 0, sequence, born, ...record,
		});
	};

	write();
	const timer = setInterval(write, heartbeatMs);
	return () => {
		clearInterval(timer);
	};
}

export function createRequestId() {
	return randomBytes(8).toString('hex');
}

/** Headers of a client's request. */
export function createHeaders(requestId, deadlineMs, further = {}) {
	return {
		Host: host, 'X-Request-Id': requestId, 'X-Deadline-Ms': String(deadlineMs), Authorization: `Bearer ${key}`, ...further,
	};
}

/** Headers of a request to an engine. */
export function createEngineHeaders(requestId, deadlineMs) {
	return createHeaders(requestId, deadlineMs, {
		'X-Model': 'm', 'X-Token-Count': '690,400', 'X-Prompt-Prefix': `5c1e07a2:60,${requestId}:630`, 'X-Length-Hint': '400',
	});
}
