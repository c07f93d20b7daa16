/** Controls a stand-in endpoint through its HTTP control interface, in this process or another. */
import {Agent, request, type Dispatcher} from 'undici';
import type {LoggedDispatch} from '../dispatch-log.js';
import type {EngineCounters} from '../engine.js';
import type {ResponseFault} from '../engine-responses.js';
import type {PlainServiceCounters} from '../plain-service.js';

// A process that is being measured must not share its connections with the control calls.
const agent: Dispatcher = new Agent({keepAliveTimeout: 1000});

async function sendControlRequest(method: 'GET' | 'POST', url: string, body?: unknown): Promise<unknown> {
	const response = await request(url, {
		method,
		dispatcher: agent,
		headers: {'content-type': 'application/json'},
		...(body === undefined ? {} : {body: JSON.stringify(body)}),
	});
	if (response.statusCode !== 200) {
		throw new Error(`${method} ${url}: status ${response.statusCode} ${await response.body.text()}`);
	}

	return response.body.json();
}

export type EndpointKind = 'engine' | 'plain';

export class EndpointControl {
	static create(options: {readonly name: string; readonly kind: EndpointKind; readonly address: string}): EndpointControl {
		return new EndpointControl(options.name, options.kind, options.address);
	}

	/** @param address host and port of the stand-in itself, not of a proxy in front of it */
	private constructor(readonly name: string, readonly kind: EndpointKind, readonly address: string) {}

	async engineCounters(): Promise<EngineCounters> {
		return await this.#get('counters') as EngineCounters;
	}

	async plainServiceCounters(): Promise<PlainServiceCounters> {
		return await this.#get('counters') as PlainServiceCounters;
	}

	/** Counters that both kinds have. */
	async counters(): Promise<Pick<EngineCounters, 'name' | 'running' | 'phase' | 'coldOverloads' | 'warmOverloads' | 'highestConcurrency'>> {
		return this.engineCounters();
	}

	/** The log of dispatches, starting at an index. */
	async dispatches(from = 0): Promise<readonly LoggedDispatch[]> {
		return await this.#get(`dispatches?from=${from}`) as readonly LoggedDispatch[];
	}

	/** @param options.isHidden whether load reports still say `warm` */
	async turnCold(options: {readonly milliseconds: number; readonly isHidden?: boolean}): Promise<void> {
		await this.#post('cold', options);
	}

	async turnWarm(): Promise<void> {
		await this.#post('warm', {});
	}

	async setSlowdown(factor: number): Promise<void> {
		await this.#post('slow', {factor});
	}

	/** @returns the number of connections that were reset */
	async cutStreams(options: {readonly isForgotten?: boolean} = {}): Promise<number> {
		const {cut} = await this.#post('cut', options) as {cut: number};
		return cut;
	}

	async resetConnections(isOn: boolean): Promise<void> {
		await this.#post('reset', {isOn});
	}

	async queueFaults(fault: ResponseFault, count: number): Promise<void> {
		await this.#post('fault', {fault, count});
	}

	async #get(path: string): Promise<unknown> {
		return sendControlRequest('GET', `http://${this.address}/control/${path}`);
	}

	async #post(action: string, body: unknown): Promise<unknown> {
		return sendControlRequest('POST', `http://${this.address}/control/${action}`, body);
	}
}
