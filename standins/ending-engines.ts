/** Stand-in of a group of engines that certain parts of prompts end. Each engine comes back after a while, at the same address under a new id. */
import {performance} from 'node:perf_hooks';
import {splitAddress} from '../src/shared/address.js';
import type {Milliseconds} from '../src/shared/clock.js';
import type {Disposable} from '../src/shared/disposable-store.js';
import {PlatformEndpoint, type PlatformEndpointOptions} from './platform-endpoint.js';

export type EndingEnginesOptions = {
	readonly count: number;
	/** Default: 2500. */
	readonly downMs?: Milliseconds;
	readonly endingParts: ReadonlySet<string>;
	readonly engine?: Partial<PlatformEndpointOptions>;
	/** Called with each engine that has started, and with its position in the group. */
	readonly onStart: (engine: PlatformEndpoint, position: number) => void;
	/** Called when an engine is about to start again, with the id that it had. */
	readonly onReplace: (id: string) => void;
};

export class EndingEngines implements Disposable {
	static async start(options: EndingEnginesOptions): Promise<EndingEngines> {
		const engines = new EndingEngines(options);
		for (let position = 0; position < options.count; position++) {
			// eslint-disable-next-line no-await-in-loop
			await engines.#start(position);
		}

		return engines;
	}

	/** The ends that a part of a prompt caused, on the process's monotonic clock. */
	readonly ends: Array<{readonly part: string; readonly at: Milliseconds}> = [];
	/** All engines that were started. */
	readonly started: PlatformEndpoint[] = [];
	readonly #running = new Map<number, PlatformEndpoint>();
	readonly #timers = new Set<NodeJS.Timeout>();
	#isDisposed = false;

	private constructor(private readonly options: EndingEnginesOptions) {}

	/** The engines that run now. */
	running(): PlatformEndpoint[] {
		return [...this.#running.values()];
	}

	/** Ends an engine that no request has ended. It comes back like the others. */
	crash(engine: PlatformEndpoint): void {
		for (const [position, other] of this.#running) {
			if (other === engine) {
				this.#end(engine, position);
			}
		}
	}

	async dispose(): Promise<void> {
		this.#isDisposed = true;
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		await Promise.all(this.started.map(async engine => engine.dispose()));
	}

	async #start(position: number, port?: number): Promise<void> {
		const engine: PlatformEndpoint = await PlatformEndpoint.listen({
			isEngine: true,
			...this.options.engine,
			id: `engine-${position}-${this.started.length}`,
			port,
			endingParts: this.options.endingParts,
			onEnding: part => {
				if (this.#running.get(position) === engine) {
					this.ends.push({part, at: performance.now()});
					this.#end(engine, position);
				}
			},
		});
		this.started.push(engine);
		this.#running.set(position, engine);
		this.options.onStart(engine, position);
	}

	#end(engine: PlatformEndpoint, position: number): void {
		const {port} = splitAddress(engine.address);
		this.#running.delete(position);
		void engine.dispose();
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			this.options.onReplace(engine.options.id);
			if (!this.#isDisposed) {
				void this.#start(position, port);
			}
		}, this.options.downMs ?? 2500);
		this.#timers.add(timer);
	}
}
