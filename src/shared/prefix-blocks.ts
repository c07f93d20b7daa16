import createXxhash, {type XXHashAPI} from 'xxhash-wasm';

/**
Hashes the prefix blocks of a prompt.

Each hash covers its block and the hash before it, so that two prompts share a hash exactly as far as they share their beginning. An incomplete last block has no hash, because a longer prompt could not share it.
*/
export class PrefixBlockHasher {
	/** Loads the hash function. */
	static async create(): Promise<PrefixBlockHasher> {
		return new PrefixBlockHasher(await createXxhash());
	}

	private constructor(private readonly xxhash: XXHashAPI) {}

	/**
	@param blockCharacters characters in one block, from the policy of the configuration
	@returns hashes in hexadecimal, shortest prefix first
	*/
	hash(prompt: string, blockCharacters: number): string[] {
		const hashes: string[] = [];
		let previous = '';
		for (let start = 0; start + blockCharacters <= prompt.length; start += blockCharacters) {
			previous = this.xxhash.h64ToString(previous + prompt.slice(start, start + blockCharacters));
			hashes.push(previous);
		}

		return hashes;
	}
}

/** Joins the contents of a conversation's messages into the text whose blocks are hashed. */
export function joinPrompt(contents: readonly string[]): string {
	return contents.join('\n');
}
