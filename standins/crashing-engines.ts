/** Stand-in of a group of engines that certain parts of prompts crash. Each engine comes back after a while, at the same address under a new id. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {splitAddress} from '../src/shared/address.js';
import type {Milliseconds} from '../src/shared/clock.js';
import type {Disposable} from '../src/shared/disposable-store.js';
import {crashMoments, PlatformEndpoint, type PlatformEndpointOptions} from './platform-endpoint.js';

const allCrashMoments = Object.values(crashMoments);

/** An address that no other process uses, so that the port of an engine remains free while it is down. */
const engineHost = `127.${200 + (process.pid % 50)}.${Math.floor(process.pid / 50) % 250}.1`;

export type CrashingEnginesOptions = {
	readonly count: number;
	/** Default: 2500. */
	readonly downMs?: Milliseconds;
	readonly crashingParts: ReadonlySet<string>;
	readonly engine?: Partial<PlatformEndpointOptions>;
	/** Called with each engine that has started, and with its position in the group. */
	readonly onStart: (engine: PlatformEndpoint, position: number) => void;
	/** Called when an engine is about to start again, with the id that it had. */
	readonly onReplace: (id: string) => void;
};

export class CrashingEngines implements Disposable {
	static async start(options: CrashingEnginesOptions): Promise<CrashingEngines> {
		const engines = new CrashingEngines(options);
		for (let position = 0; position < options.count; position++) {
			// eslint-disable-next-line no-await-in-loop
			await engines.#start(position);
		}

		return engines;
	}

	/** The crashes that a part of a prompt caused, on the process's monotonic clock. */
	readonly crashes: Array<{readonly part: string; readonly at: Milliseconds}> = [];
	/** All engines that were started. */
	readonly started: PlatformEndpoint[] = [];
	readonly #running = new Map<number, PlatformEndpoint>();
	readonly #timers = new Set<NodeJS.Timeout>();
	#isDisposed = false;

	private constructor(private readonly options: CrashingEnginesOptions) {}

	/** The engines that run now. */
	running(): PlatformEndpoint[] {
		return [...this.#running.values()];
	}

	/** Crashes an engine without a request. It comes back like the others. */
	crash(engine: PlatformEndpoint): void {
		for (const [position, other] of this.#running) {
			if (other === engine) {
				this.#stop(engine, position);
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
			crashMoment: allCrashMoments[this.started.length % allCrashMoments.length],
			...this.options.engine,
			id: `engine-${position}-${this.started.length}`,
			host: engineHost,
			port,
			crashingParts: this.options.crashingParts,
			onCrash: part => {
				if (this.#running.get(position) === engine) {
					this.crashes.push({part, at: performance.now()});
					this.#stop(engine, position);
				}
			},
		});
		this.started.push(engine);
		this.#running.set(position, engine);
		this.options.onStart(engine, position);
	}

	#stop(engine: PlatformEndpoint, position: number): void {
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
