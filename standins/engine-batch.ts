/** Models the speed of continuous batching: prefill in arrival order, all requests decode together. */
import {performance} from 'node:perf_hooks';
import {PrefixBlockHasher} from '../src/shared/prefix-blocks.js';
import {promptText} from './completion.js';
import type {EndpointPhase} from './endpoint-phase.js';
import type {EngineSettings} from './engine-settings.js';
import type {EngineStream} from './engine-stream.js';
import type {PrefixCache} from './prefix-cache.js';

/** Length of one simulation step; also the resolution of all response times. */
const stepMs = 10;
const charactersPerToken = 4;
const hasher = await PrefixBlockHasher.create();

type Sequence = {
	readonly stream: EngineStream;
	readonly prefixBlocks: readonly string[];
	/** Prompt tokens still to compute; undefined until its prefill begins. */
	remainingPrefillTokens: number | undefined;
	/** Tokens that have been decoded but not emitted, with fractions. */
	pendingTokens: number;
};

export type EngineBatchOptions = {
	readonly settings: EngineSettings;
	readonly phase: EndpointPhase;
	readonly cache: PrefixCache;
	readonly onStreamEnd: (stream: EngineStream) => void;
};

export class EngineBatch {
	static create(options: EngineBatchOptions): EngineBatch {
		return new EngineBatch(options);
	}

	/** Set through the control interface: how many times slower the engine is. */
	slowdown = 1;
	readonly #sequences = new Map<EngineStream, Sequence>();
	#timer: NodeJS.Timeout | undefined;
	#lastStep = 0;

	private constructor(private readonly options: EngineBatchOptions) {}

	get running(): number {
		return this.#sequences.size;
	}

	/** Prompt and output tokens of all running requests. */
	get tokensInUse(): number {
		let sum = 0;
		for (const {stream} of this.#sequences.values()) {
			sum += stream.usage.promptTokens + stream.emittedTokens;
		}

		return sum;
	}

	admit(stream: EngineStream): void {
		const prefixBlocks = hasher.hash(promptText(stream.body), this.options.settings.blockCharacters);
		this.#sequences.set(stream, {
			stream, prefixBlocks, remainingPrefillTokens: undefined, pendingTokens: 0,
		});
		if (this.#timer === undefined) {
			this.#lastStep = performance.now();
			this.#timer = setInterval(() => {
				this.#step();
			}, stepMs);
		}
	}

	cancel(stream: EngineStream): void {
		if (this.#sequences.delete(stream)) {
			stream.end('cancelled');
			this.options.onStreamEnd(stream);
		}
	}

	/** Stops the simulation; running streams end as cancelled. */
	stop(): void {
		for (const stream of this.#sequences.keys()) {
			this.cancel(stream);
		}

		clearInterval(this.#timer);
		this.#timer = undefined;
	}

	#step(): void {
		const now = performance.now();
		const seconds = (now - this.#lastStep) / 1000 / this.#currentSlowdown();
		this.#lastStep = now;
		this.#decode(seconds);
		this.#prefill(seconds);
		if (this.#sequences.size === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
		}
	}

	#currentSlowdown(): number {
		const {settings, phase} = this.options;
		const cold = phase.current === 'cold' ? settings.coldSlowdown : 1;
		const excess = Math.max(0, this.#sequences.size - settings.units);
		const overload = Math.min(settings.maximumOverloadSlowdown, 1 + (excess * settings.overloadSlowdown));
		return this.slowdown * cold * overload;
	}

	#prefill(seconds: number): void {
		let budget = seconds * this.options.settings.prefillTokensPerSecond;
		for (const sequence of this.#sequences.values()) {
			if (budget <= 0) {
				return;
			}

			if (sequence.remainingPrefillTokens !== 0) {
				budget -= this.#prefillSequence(sequence, budget);
			}
		}
	}

	/** @returns the tokens computed */
	#prefillSequence(sequence: Sequence, budget: number): number {
		const {stream, prefixBlocks} = sequence;
		sequence.remainingPrefillTokens ??= this.#beginPrefill(sequence);
		const computed = Math.min(budget, sequence.remainingPrefillTokens);
		sequence.remainingPrefillTokens -= computed;
		stream.usage.promptTokensComputed += computed;
		if (sequence.remainingPrefillTokens === 0) {
			this.options.cache.store(prefixBlocks);
			// The last step of prefill yields the first output token.
			stream.emit(1);
			this.#endIfComplete(sequence);
		}

		return computed;
	}

	#beginPrefill({stream, prefixBlocks}: Sequence): number {
		const blockTokens = this.options.settings.blockCharacters / charactersPerToken;
		// At least the last token is computed, because it yields the first output token.
		stream.usage.promptTokensSaved = Math.min(this.options.cache.match(prefixBlocks) * blockTokens, stream.usage.promptTokens - 1);
		return stream.usage.promptTokens - stream.usage.promptTokensSaved;
	}

	#decode(seconds: number): void {
		const {settings} = this.options;
		const occupancy = (this.#sequences.size - 1) / settings.units;
		const rate = settings.decodeTokensPerSecond / (1 + (settings.batchSlowdown * occupancy));
		for (const sequence of this.#sequences.values()) {
			if (sequence.remainingPrefillTokens === 0) {
				sequence.pendingTokens += seconds * rate;
				this.#emitDecoded(sequence);
				this.#endIfComplete(sequence);
			}
		}
	}

	#emitDecoded(sequence: Sequence): void {
		const {stream} = sequence;
		const {tokensPerEvent} = this.options.settings;
		for (;;) {
			const remainingTokens = stream.completion.tokens.length - stream.emittedTokens;
			const count = Math.min(tokensPerEvent, remainingTokens);
			if (count === 0 || sequence.pendingTokens < count) {
				return;
			}

			sequence.pendingTokens -= count;
			stream.emit(count);
		}
	}

	#endIfComplete({stream}: Sequence): void {
		if (stream.emittedTokens >= stream.completion.tokens.length) {
			this.#sequences.delete(stream);
			stream.end('complete');
			this.options.onStreamEnd(stream);
		}
	}
}
