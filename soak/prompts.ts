import type {RandomSource} from '../standins/random-source.js';

/** Percentage of prompts with a part that crashes engines, while there is one. */
const crashingPartPercent = 20;

/** Numbers of the sound parts that prompts begin with and go on with. */
const firstPartCount = 3;
const middlePartCount = 40;

/** Shared parts of the prompts that callers send. */
export class SoakPrompts {
	static create(): SoakPrompts {
		return new SoakPrompts();
	}

	/** All parts that have crashed engines. */
	readonly crashingParts = new Set<string>();
	/** Those that callers send now. */
	readonly #activeCrashingParts = new Set<string>();

	private constructor() {}

	nextParts(random: RandomSource): string[] {
		const active = [...this.#activeCrashingParts];
		const middle = active.length > 0 && random.chance(crashingPartPercent) ? random.pick(active)! : `middle-${random.integer(1, middlePartCount)}`;
		return [`first-${random.integer(1, firstPartCount)}`, middle];
	}

	/** From now on, callers send prompts with a new part that crashes engines. */
	startCrashingPart(): string {
		const part = `crashing-${this.crashingParts.size + 1}`;
		this.crashingParts.add(part);
		this.#activeCrashingParts.add(part);
		return part;
	}

	endCrashingPart(part: string): void {
		this.#activeCrashingParts.delete(part);
	}
}
