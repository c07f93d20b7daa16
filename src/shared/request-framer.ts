/** What the next bytes of a connection are to the HTTP parser. */
export const pieceKinds = {
	/** The request line and the header fields of one request, with the empty line that ends them. */
	head: 'head',
	/** Bytes of a body, trailers with the empty line that ends them, empty lines before a head, or bytes that begin no request. No request ends before their last byte. */
	body: 'body',
	/** Bytes that belong to nothing complete yet. */
	incomplete: 'incomplete',
} as const;

export type Piece = {
	readonly kind: (typeof pieceKinds)[keyof typeof pieceKinds];
	/** Number of bytes, from the start of what was given. */
	readonly length: number;
	/** Lines of a head or of trailers, without the empty one. */
	readonly lines: number;
};

/** How the body of a request is delimited, as its head says. */
export type BodyFraming = {
	readonly isChunked: boolean;
	/** Bytes of the body, if it is not chunked. */
	readonly length: number;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Methods consist of these letters. */
const firstLetter = 0x41;
const lastLetter = 0x5A;

/** Digits of a chunk size that are looked at. The parser refuses sizes that are longer. */
const maximumSizeDigits = 16;

type State = 'head' | 'fixed-body' | 'chunk-size' | 'chunk-data' | 'trailers';

/**
Finds where requests begin and end in what arrives on a connection (RFC 9112, sections 2 and 7), so that the parser gets one head at a time, and nothing of a head before it is complete.

It does not check what it reads: the parser refuses what is malformed.
*/
export class RequestFramer {
	static create(): RequestFramer {
		return new RequestFramer();
	}

	#state: State = 'head';
	/** Bytes up to the end of the body, or of the chunk with its line end. */
	#remaining = 0;
	#sizeDigits = '';
	#isSizeComplete = false;
	/** Bytes of an incomplete head or of trailers that have been searched, lines in them, and where the last of these began. */
	#searched = 0;
	#lines = 0;
	#lineStart = 0;

	private constructor() {}

	/** Records how the body is delimited that follows the head which was taken last. */
	beginBody({isChunked, length}: BodyFraming): void {
		this.#remaining = length;
		if (isChunked) {
			this.#state = 'chunk-size';
		} else {
			this.#state = length > 0 ? 'fixed-body' : 'head';
		}
	}

	/**
	Returns the next piece of what has arrived. The caller takes it before it asks again, or gives the same bytes with more behind them.

	@param bytes at least one byte
	*/
	next(bytes: Uint8Array): Piece {
		if (this.#state === 'head') {
			return this.#nextHead(bytes);
		}

		if (this.#state === 'trailers') {
			return this.#nextBlock(bytes, pieceKinds.body);
		}

		return {kind: pieceKinds.body, length: this.#takeBody(bytes), lines: 0};
	}

	#nextHead(bytes: Uint8Array): Piece {
		const emptyLines = this.#searched === 0 ? countLineEnds(bytes) : 0;
		if (emptyLines > 0) {
			return {kind: pieceKinds.body, length: emptyLines, lines: 0};
		}

		const isRequest = bytes[0]! >= firstLetter && bytes[0]! <= lastLetter;
		// The parser refuses anything else at once.
		return isRequest ? this.#nextBlock(bytes, pieceKinds.head) : {kind: pieceKinds.body, length: bytes.byteLength, lines: 0};
	}

	/** Returns the number of bytes that certainly belong to the body. */
	#takeBody(bytes: Uint8Array): number {
		let position = 0;
		while (position < bytes.byteLength) {
			if (this.#state === 'chunk-size') {
				position = this.#readSize(bytes, position);
			} else if (this.#state === 'fixed-body' || this.#state === 'chunk-data') {
				const length = Math.min(this.#remaining, bytes.byteLength - position);
				position += length;
				this.#remaining -= length;
				if (this.#remaining === 0) {
					this.#state = this.#state === 'chunk-data' ? 'chunk-size' : 'head';
				}
			} else {
				break;
			}
		}

		return position;
	}

	/** Reads the line with the size of a chunk, as far as it has arrived, and returns the position behind it. */
	#readSize(bytes: Uint8Array, start: number): number {
		const end = bytes.indexOf(lineFeed, start);
		const digitsEnd = Math.min(end === -1 ? bytes.byteLength : end, start + maximumSizeDigits);
		for (let position = start; position < digitsEnd && !this.#isSizeComplete; position++) {
			const character = String.fromCodePoint(bytes[position]!);
			this.#isSizeComplete = !/[\da-f]/iv.test(character) || this.#sizeDigits.length >= maximumSizeDigits;
			this.#sizeDigits += this.#isSizeComplete ? '' : character;
		}

		if (end === -1) {
			return bytes.byteLength;
		}

		const size = this.#sizeDigits === '' ? 0 : Number.parseInt(this.#sizeDigits, 16);
		this.#sizeDigits = '';
		this.#isSizeComplete = false;
		this.#state = size === 0 ? 'trailers' : 'chunk-data';
		this.#remaining = size + '\r\n'.length;
		return end + 1;
	}

	/** Looks for the empty line that ends a head or trailers. */
	#nextBlock(bytes: Uint8Array, kind: Piece['kind']): Piece {
		let end = bytes.indexOf(lineFeed, this.#searched);
		while (end !== -1) {
			const length = end - this.#lineStart;
			const isEmpty = length === 0 || (length === 1 && bytes[this.#lineStart] === carriageReturn);
			this.#lineStart = end + 1;
			if (isEmpty) {
				const lines = this.#lines;
				this.#lines = 0;
				this.#searched = 0;
				this.#lineStart = 0;
				this.#state = 'head';
				return {kind, length: end + 1, lines};
			}

			this.#lines++;
			end = bytes.indexOf(lineFeed, end + 1);
		}

		this.#searched = bytes.byteLength;
		return {kind: pieceKinds.incomplete, length: bytes.byteLength, lines: this.#lines};
	}
}

/** Returns the number of bytes at the start that are line ends. Empty lines may precede a head. */
function countLineEnds(bytes: Uint8Array): number {
	const end = bytes.findIndex(byte => byte !== lineFeed && byte !== carriageReturn);
	return end === -1 ? bytes.byteLength : end;
}
