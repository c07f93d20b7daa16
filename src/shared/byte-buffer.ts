import {Buffer} from 'node:buffer';
import type {MemoryReservation} from './memory-budget.js';

/** Size of the first block, and the largest size of a block, in bytes. Each block is twice as large as the one before. */
const firstBlockBytes = 1024;
const maximumBlockBytes = 65_536;

/** Blocks of the largest size that are kept for reuse. Blocks live for long enough to be freed only by a full garbage collection, so without reuse several times as many would be in memory. */
const maximumFreeBlocks = 64;

const freeBlocks: Uint8Array[] = [];

function allocateBlock(size: number): Uint8Array {
	return (size === maximumBlockBytes ? freeBlocks.pop() : undefined) ?? Buffer.allocUnsafeSlow(size);
}

/** Keeps a block for reuse. Nothing else may refer to it. */
function releaseBlock(block: Uint8Array): void {
	if (block.length === maximumBlockBytes && freeBlocks.length < maximumFreeBlocks) {
		freeBlocks.push(block);
	}
}

/**
Joins chunks of bytes in blocks.

A chunk that is kept as it arrived costs an object, and the whole buffer of which it is a part stays in memory: a hundred bytes or more for a single one.
*/
export class ByteBuffer {
	/** @param reservation counts the blocks; when it refuses one, nothing is appended. Default: not counted */
	static create(reservation?: MemoryReservation): ByteBuffer {
		return new ByteBuffer(reservation);
	}

	readonly #fullBlocks: Uint8Array[] = [];
	#block: Uint8Array = new Uint8Array(0);
	/** Bytes of the current block that are in use. */
	#used = 0;
	#length = 0;
	/** Bytes of all blocks. */
	#allocated = 0;

	private constructor(private readonly reservation: MemoryReservation | undefined) {}

	/** Number of bytes. */
	get length(): number {
		return this.#length;
	}

	/** @throws {MemoryBudgetError} when the reservation refuses a block */
	append(chunk: Uint8Array): void {
		const fitting = Math.min(chunk.length, this.#block.length - this.#used);
		if (fitting < chunk.length) {
			this.#appendBlock(chunk, fitting);
			return;
		}

		this.#block.set(chunk, this.#used);
		this.#used += chunk.length;
		this.#length += chunk.length;
	}

	/** Returns up to the given number of bytes from the end. They are valid until the buffer changes. */
	lastBytes(count: number): Uint8Array {
		const fromBlock = this.#block.subarray(Math.max(0, this.#used - count), this.#used);
		const previous = this.#fullBlocks.at(-1);
		if (fromBlock.length === count || previous === undefined) {
			return fromBlock;
		}

		return Buffer.concat([previous.subarray(previous.length - (count - fromBlock.length)), fromBlock]);
	}

	/** Returns all bytes and empties the buffer. */
	take(): Uint8Array {
		const last = this.#block.subarray(0, this.#used);
		if (this.#fullBlocks.length === 0) {
			this.#empty();
			return last;
		}

		const bytes = Buffer.concat([...this.#fullBlocks, last]);
		this.clear();
		return bytes;
	}

	clear(): void {
		for (const block of [...this.#fullBlocks, this.#block]) {
			releaseBlock(block);
		}

		this.#empty();
	}

	#empty(): void {
		this.reservation?.release(this.#allocated);
		this.#allocated = 0;
		this.#fullBlocks.length = 0;
		this.#block = new Uint8Array(0);
		this.#used = 0;
		this.#length = 0;
	}

	/** Appends the first bytes to the current block, and the others to a new one that has room for them. */
	#appendBlock(chunk: Uint8Array, fitting: number): void {
		const rest = chunk.length - fitting;
		const size = Math.max(rest, Math.min(maximumBlockBytes, Math.max(firstBlockBytes, 2 * this.#block.length)));
		this.reservation?.reserve(size);
		this.#allocated += size;
		const block = allocateBlock(size);
		this.#block.set(chunk.subarray(0, fitting), this.#used);
		block.set(chunk.subarray(fitting));
		if (this.#block.length > 0) {
			this.#fullBlocks.push(this.#block);
		}

		this.#block = block;
		this.#used = rest;
		this.#length += chunk.length;
	}
}
