/** Stand-in of the platform's list of live and leaving instances, which shows changes with a delay. */
import {performance} from 'node:perf_hooks';
import {z} from 'zod';
import type {Disposable} from '../src/shared/disposable-store.js';
import {availabilities, handleUnavailability, type Availability} from './availability.js';
import {
	parseBody, sendJson, StandInServer, type Route,
} from './stand-in-server.js';

export const instanceListSettingsSchema = z.strictObject({
	host: z.string().default('127.0.0.1'),
	/** 0: any free port. */
	port: z.number().int().nonnegative().default(0),
	/** Delay with which a change appears in the list. */
	lagMilliseconds: z.number().nonnegative().default(500),
});

export type InstanceListSettings = z.infer<typeof instanceListSettingsSchema>;
export type InstanceListOptions = z.input<typeof instanceListSettingsSchema>;

const instanceSchema = z.strictObject({
	name: z.string().min(1),
	role: z.enum(['entry', 'endpoint']),
	state: z.enum(['live', 'leaving']).default('live'),
	availabilityZone: z.string().min(1),
	addresses: z.strictObject({
		callers: z.string().optional(),
		peers: z.string().optional(),
		operators: z.string().optional(),
	}).default({}),
});

export type Instance = z.infer<typeof instanceSchema>;
export type InstanceOptions = z.input<typeof instanceSchema>;

type ListRevision = {
	readonly revision: number;
	readonly changedAt: number;
	readonly instances: readonly Instance[];
};

export class InstanceList implements Disposable {
	static async start(options: InstanceListOptions = {}): Promise<InstanceList> {
		const list = new InstanceList(instanceListSettingsSchema.parse(options));
		const {host, port} = list.settings;
		list.#server = await StandInServer.listen({
			host, port, routes: list.#routes(), intercept: request => handleUnavailability(list.#availability, request),
		});
		return list;
	}

	#revisions: ListRevision[] = [{revision: 1, changedAt: Number.NEGATIVE_INFINITY, instances: []}];
	#availability: Availability = availabilities.up;
	#reads = 0;
	#server!: StandInServer;

	private constructor(readonly settings: InstanceListSettings) {}

	/** Host and port. */
	get address(): string {
		return this.#server.address;
	}

	/** The current instances, without the delay. */
	get instances(): readonly Instance[] {
		return this.#revisions.at(-1)!.instances;
	}

	/** Number of reads that got a response since the start. */
	get reads(): number {
		return this.#reads;
	}

	async dispose(): Promise<void> {
		await this.#server.dispose();
	}

	replaceAll(instances: readonly InstanceOptions[]): void {
		const {revision} = this.#revisions.at(-1)!;
		this.#revisions.push({revision: revision + 1, changedAt: performance.now(), instances: instances.map(instance => instanceSchema.parse(instance))});
	}

	/** Adds an instance or replaces the one with the same name. */
	put(instance: InstanceOptions): void {
		this.replaceAll([...this.instances.filter(({name}) => name !== instance.name), instance]);
	}

	remove(name: string): void {
		this.replaceAll(this.instances.filter(instance => instance.name !== name));
	}

	setAvailability(availability: Availability): void {
		this.#availability = availability;
	}

	/** The listing that a reader gets now. */
	visibleListing(): {revision: number; instances: readonly Instance[]} {
		const latestChangeAt = performance.now() - this.settings.lagMilliseconds;
		const index = this.#revisions.findLastIndex(({changedAt}) => changedAt <= latestChangeAt);
		this.#revisions = this.#revisions.slice(index);
		const {revision, instances} = this.#revisions[0]!;
		return {revision, instances};
	}

	#routes(): Route[] {
		return [
			{
				method: 'GET', pattern: /^\/v1\/instances$/v, handle: ({response}) => {
					this.#reads++;
					sendJson(response, 200, this.visibleListing());
				},
			},
			{
				method: 'PUT', pattern: /^\/control\/instances\/(?<name>[^\/]+)$/v, handle: exchange => {
					this.put(instanceSchema.parse({...parseBody(exchange), name: exchange.parameters.name}));
					sendJson(exchange.response, 200, {});
				},
			},
			{
				method: 'DELETE', pattern: /^\/control\/instances\/(?<name>[^\/]+)$/v, handle: ({response, parameters}) => {
					this.remove(parameters.name ?? '');
					response.writeHead(204).end();
				},
			},
			{
				method: 'POST', pattern: /^\/control\/behaviour$/v, handle: exchange => {
					this.setAvailability(z.strictObject({availability: z.enum(availabilities)}).parse(parseBody(exchange)).availability);
					sendJson(exchange.response, 200, {});
				},
			},
		];
	}
}
