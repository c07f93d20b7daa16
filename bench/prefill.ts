/** Wasted prefill: prompt tokens that the engines computed in excess of those that the delivered responses needed. */
import {countPromptTokens, promptText} from '../standins/completion.js';
import {createEngineBody, type PlannedEngineRequest, type PlannedRequest} from './load-plan.js';
import type {RequestRecord} from './records.js';

/** Prompt characters of one block in the engines' prefix caches, and of one token. */
const blockCharacters = 512;
const charactersPerToken = 4;

export type Prefill = {
	/** Prompt tokens that the engines computed. */
	readonly computedTokens: number;
	/** Prompt tokens that the delivered responses needed if every shared prefix is computed once. */
	readonly neededTokens: number;
	/** Ratio of the computed tokens that were not needed, 0 to 1. */
	readonly wastedShare: number;
};

function countSharedTokens({prefixCharacters}: PlannedEngineRequest): number {
	return Math.floor(prefixCharacters / blockCharacters) * blockCharacters / charactersPerToken;
}

function countOwnTokens(planned: PlannedEngineRequest): number {
	return countPromptTokens(promptText(createEngineBody(planned))) - countSharedTokens(planned);
}

/** @param computedTokens growth of the engines' counters during the run */
export function summarisePrefill(plan: readonly PlannedRequest[], records: readonly RequestRecord[], computedTokens: number): Prefill {
	const delivered = new Set(records.filter(({isCorrect}) => isCorrect).map(({index}) => index));
	const prefixes = new Map<string, number>();
	let neededTokens = 0;
	for (const planned of plan) {
		if (planned.kind === 'engine' && delivered.has(planned.index)) {
			neededTokens += countOwnTokens(planned);
			prefixes.set(`${planned.workspace} ${planned.prefixNumber}`, countSharedTokens(planned));
		}
	}

	for (const tokens of prefixes.values()) {
		neededTokens += tokens;
	}

	return {computedTokens, neededTokens, wastedShare: computedTokens === 0 ? 0 : Math.max(0, 1 - (neededTokens / computedTokens))};
}
