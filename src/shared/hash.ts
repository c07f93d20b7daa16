import xxhash from 'xxhash-wasm';

// The WebAssembly module is compiled once when this module is loaded, so that hashing is synchronous.
const {h64} = await xxhash();

/** 64-bit xxHash of a text. */
export function hashText(text: string): bigint {
	return h64(text);
}
