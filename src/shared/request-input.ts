import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {MemoryBudget, type MemoryAccount} from './memory-budget.js';
import {pieceKinds, RequestFramer, type Piece} from './request-framer.js';
import {resetConnection} from './reset-connection.js';

/** Requests that arrived together, and what their heads and trailers cost, after which a connection lets others go first. Their responses are created after them. */
const requestsPerTurn = 64;
const costPerTurn = 65_536;

/** What heads and trailers may cost in a round of the event loop before connections with a head above `ordinaryCost` wait for their turn. */
const costPerRound = 262_144;
const ordinaryCost = 16_384;

/** What a line of a head costs to parse, as a number of bytes that cost as much. */
const costPerLine = 64;

/** What a request that waits holds beside its head, in bytes. */
const requestBytes = 16_384;

/** What may have arrived on a connection after it was paused: Node.js pauses the reading with its next chunk. */
const readAheadBytes = 65_536;

/** Length of a head, or of trailers, above which they are refused. The parser counts neither separators nor line ends, and keeps each line. */
const maximumHeadBytes = 65_536;

const noBytes = new Uint8Array(0);

/** First size of the buffer for what has arrived and is not parsed yet. */
const minimumBufferBytes = 512;

export type RequestInputLimits = {
	/** Requests of one connection whose responses have not been taken by the operating system. */
	readonly openRequests: number;
	/** Those of them whose responses have been written completely. */
	readonly writtenResponses: number;
	/** Requests of all connections behind the first open one of each. */
	readonly pipelinedRequests: number;
	/** What these requests may hold, in bytes. */
	readonly pipelinedBytes: number;
	/** What all connections may hold that has arrived and is not parsed yet, in bytes. */
	readonly heldBytes: number;
};

/** No caller that waits for a response before its next request has more than one open request. */
export const defaultRequestInputLimits: RequestInputLimits = {
	openRequests: 8, writtenResponses: 8, pipelinedRequests: 64, pipelinedBytes: 4_194_304, heldBytes: 8_388_608,
};

export type ConnectionInputOptions = {
	/** Whether what arrives is no longer of interest. */
	readonly isDiscarded?: () => boolean;
	/** Called when a head, or trailers, are too long. Nothing more is read. */
	readonly onHeadTooLong: () => void;
	/** Called when the connection holds more than others while all of them hold too much. It is reset then. */
	readonly onExceeded: () => void;
};

/** The connections of one HTTP server, of which none is read while the responses to its earlier requests are not taken. */
export class RequestInput {
	static create(limits: RequestInputLimits = defaultRequestInputLimits): RequestInput {
		return new RequestInput(limits);
	}

	readonly #heldMemory: MemoryBudget;
	readonly #held = new Set<ConnectionInput>();
	/** Connections that wait for their turn. One of them goes on in a round of the event loop. */
	readonly #waiting = new Set<ConnectionInput>();
	#isTurnAwaited = false;
	#pipelinedRequests = 0;
	#pipelinedBytes = 0;
	/** What heads and trailers cost in the current round of the event loop. */
	#costInRound = 0;

	private constructor(readonly limits: RequestInputLimits) {
		this.#heldMemory = MemoryBudget.create(limits.heldBytes);
	}

	/** Connections that are not read at the moment. */
	get held(): ReadonlySet<ConnectionInput> {
		return this.#held;
	}

	get isFull(): boolean {
		return this.#pipelinedRequests >= this.limits.pipelinedRequests || this.#pipelinedBytes >= this.limits.pipelinedBytes;
	}

	/** Takes over the reading of a connection that the HTTP server has just accepted. */
	add(socket: Socket, options: ConnectionInputOptions): ConnectionInput {
		return new ConnectionInput(socket, this, options);
	}

	openAccount(onExceeded: () => void): MemoryAccount {
		return this.#heldMemory.openAccount(onExceeded);
	}

	/** Whether a head may be parsed in this round of the event loop without a turn. */
	hasRoomInRound(cost: number): boolean {
		return cost <= ordinaryCost || this.#costInRound + cost <= costPerRound;
	}

	/** Records that a head or trailers are parsed. */
	recordCost(cost: number): void {
		if (this.#costInRound === 0) {
			setImmediate(() => {
				this.#costInRound = 0;
			});
		}

		this.#costInRound += cost;
	}

	/** @param bytes what the request holds */
	recordPipelined(bytes: number): void {
		this.#pipelinedRequests++;
		this.#pipelinedBytes += bytes;
	}

	/** @param bytes what the request held */
	recordPipelinedEnd(bytes: number): void {
		const wasFull = this.isFull;
		this.#pipelinedRequests--;
		this.#pipelinedBytes -= bytes;
		if (wasFull && !this.isFull) {
			// Those that stay held are added again, behind the others.
			const waiting = [...this.#held];
			for (const connection of waiting) {
				if (this.isFull) {
					break;
				}

				connection.proceed();
				if (this.#held.delete(connection)) {
					this.#held.add(connection);
				}
			}
		}
	}

	/** Lets other connections go first. */
	awaitTurn(connection: ConnectionInput): void {
		this.#waiting.add(connection);
		this.#awaitNextTurn();
	}

	recordClosed(connection: ConnectionInput): void {
		this.#held.delete(connection);
		this.#waiting.delete(connection);
	}

	recordHeld(connection: ConnectionInput, isHeld: boolean): void {
		if (isHeld) {
			this.#held.add(connection);
		} else {
			this.#held.delete(connection);
		}
	}

	#awaitNextTurn(): void {
		if (this.#isTurnAwaited || this.#waiting.size === 0) {
			return;
		}

		this.#isTurnAwaited = true;
		setImmediate(() => {
			this.#isTurnAwaited = false;
			const [next] = this.#waiting;
			if (next !== undefined) {
				this.#waiting.delete(next);
				next.beginTurn();
				this.#awaitNextTurn();
			}
		});
	}
}

/**
What arrives on one connection, on its way to the HTTP parser.

Node.js stops reading a connection when a request arrives behind responses that the caller does not take, but the parser first goes through everything of the same reading, and it keeps each line of an incomplete head as strings that take many times its bytes. So the parser gets one head at a time here, only when it is complete, and nothing while the connection is paused.
*/
export class ConnectionInput {
	readonly #parse: (chunk: Uint8Array) => void;
	readonly #account: MemoryAccount;
	readonly #framer = RequestFramer.create();
	/** Requests whose responses have not been handed to the operating system, with the bytes that they hold behind an open one. */
	readonly #open = new Map<ServerResponse, number>();
	/** Those of them whose responses have been written completely. */
	readonly #written = new Set<ServerResponse>();
	/** Holds what has arrived and has not been parsed, from `#start` to `#end`. */
	#buffer: Uint8Array = noBytes;
	#start = 0;
	#end = 0;
	#head: Piece | undefined;
	/** Requests since the connection was last empty, or had its last turn, and what their heads and trailers cost. */
	#requestsInTurn = 0;
	#costInTurn = 0;
	#isTurnAwaited = false;
	/** Whether the connection has waited for its turn, so that the next head is parsed whatever others cost in this round. */
	#hasTurn = false;
	/** Whether something complete waits to be parsed. */
	#isBlocked = false;
	#isParsing = false;
	#isPaused = false;
	#isDiscarded = false;

	/** Inputs are created by `RequestInput`. */
	constructor(private readonly socket: Socket, private readonly input: RequestInput, private readonly options: ConnectionInputOptions) {
		// The listener of the HTTP server. Without a listener of its own it would read past the stream.
		const [parse] = socket.listeners('data') as Array<(chunk: Uint8Array) => void>;
		this.#parse = parse!;
		this.#account = input.openAccount(() => {
			this.#exceed();
		});
		socket.off('data', this.#parse);
		socket.on('data', chunk => {
			this.#append(chunk);
			this.proceed();
		});
		// The HTTP server and others pause and resume the connection for reasons of their own.
		socket.on('resume', () => {
			this.proceed();
		});
		socket.once('end', () => {
			// The caller counts as having left.
			this.discard();
		});
		socket.once('close', () => {
			this.discard();
			this.#account.close();
			this.input.recordClosed(this);
			for (const response of this.#open.keys()) {
				this.end(response);
			}
		});
	}

	/** Bytes that have arrived and have not been parsed. */
	get heldBytes(): number {
		return this.#end - this.#start;
	}

	/** Length of the head that was parsed last, as it was sent. */
	get headBytes(): number {
		return this.#head?.length ?? 0;
	}

	get openRequests(): number {
		return this.#open.size;
	}

	get writtenResponses(): number {
		return this.#written.size;
	}

	/** Records a request whose head has just been parsed. */
	begin(response: ServerResponse): void {
		const bytes = this.#open.size === 0 ? 0 : requestBytes + this.headBytes;
		this.#open.set(response, bytes);
		if (bytes > 0) {
			this.input.recordPipelined(bytes);
		}

		const {headers} = response.req;
		this.#framer.beginBody({isChunked: headers['transfer-encoding'] !== undefined, length: Number(headers['content-length'] ?? 0)});
	}

	/** Records that the last byte of a response has been written. */
	recordWritten(response: ServerResponse): void {
		if (this.#open.has(response)) {
			this.#written.add(response);
		}
	}

	/** Records that a response has been handed to the operating system, or that its connection has closed. */
	end(response: ServerResponse): void {
		const bytes = this.#open.get(response);
		if (bytes === undefined) {
			return;
		}

		this.#open.delete(response);
		this.#written.delete(response);
		if (this.#open.size === 0 && this.heldBytes === 0) {
			this.#resetTurn();
		}

		this.proceed();
		if (bytes > 0) {
			this.input.recordPipelinedEnd(bytes);
		}
	}

	/** Ignores what has not been parsed, and everything that arrives from now on. */
	discard(): void {
		this.#isDiscarded = true;
		this.#clear();
	}

	/** Goes on after other connections have gone first. */
	beginTurn(): void {
		this.#isTurnAwaited = false;
		this.#resetTurn();
		this.#hasTurn = true;
		this.proceed();
	}

	/** Parses what has arrived, as far as it may be parsed now, and pauses or resumes the connection. */
	proceed(): void {
		if (this.#isParsing || this.socket.destroyed) {
			return;
		}

		if (this.#isPaused && this.#mayRead() && !isPausedByServer(this.socket)) {
			// It flows in a later step.
			this.#isPaused = false;
			this.socket.resume();
		}

		this.#isParsing = true;
		try {
			this.#isBlocked = false;
			this.#parseHeld();
		} finally {
			this.#isParsing = false;
		}

		this.#shrinkBuffer();
		// A caller that waits for its only response is not held: it has sent nothing ahead.
		const isHeld = this.#isBlocked || ((this.#open.size > 1 || this.#isInputDiscarded()) && !this.#mayRead());
		if (isHeld && !this.socket.isPaused()) {
			this.#isPaused = true;
			this.socket.pause();
		}

		this.input.recordHeld(this, isHeld);
		try {
			this.#account.setReserved(this.#buffer.buffer.byteLength + (isHeld ? readAheadBytes : 0));
		} catch {
			this.#exceed();
		}
	}

	#parseHeld(): void {
		while (this.heldBytes > 0 && !this.socket.destroyed) {
			if (this.#isInputDiscarded()) {
				this.#dropHeld();
				return;
			}

			if (!this.#mayParse()) {
				this.#isBlocked = true;
				return;
			}

			const piece = this.#framer.next(this.#buffer.subarray(this.#start, this.#end));
			if (isHeadTooLong(piece)) {
				this.discard();
				this.options.onHeadTooLong();
				return;
			}

			if (piece.kind === pieceKinds.incomplete) {
				return;
			}

			if (piece.kind === pieceKinds.head && !this.#mayParseHead(piece)) {
				this.#isBlocked = true;
				return;
			}

			this.#parsePiece(piece);
		}
	}

	#isInputDiscarded(): boolean {
		return this.#isDiscarded || this.options.isDiscarded?.() === true;
	}

	/** Each reading takes a buffer that stays until a garbage collection, so those of discarded input take turns, too. */
	#dropHeld(): void {
		this.#costInTurn += this.heldBytes;
		this.#clear();
		if (this.#costInTurn >= costPerTurn) {
			this.#awaitTurn();
		}
	}

	#parsePiece(piece: Piece): void {
		const bytes = this.#buffer.subarray(this.#start, this.#start + piece.length);
		this.#start += piece.length;
		if (piece.kind === pieceKinds.head) {
			this.#head = piece;
			this.#hasTurn = false;
			this.#requestsInTurn++;
		}

		if (piece.lines > 0) {
			this.#costInTurn += costOf(piece);
			this.input.recordCost(costOf(piece));
		}

		this.#parse.call(this.socket, bytes);
		if (this.#requestsInTurn >= requestsPerTurn || this.#costInTurn >= costPerTurn) {
			this.#awaitTurn();
		}
	}

	/** Whether no other connection goes first. If one does, this one waits for its turn. */
	#mayParseHead(head: Piece): boolean {
		if (this.#hasTurn || this.input.hasRoomInRound(costOf(head))) {
			return true;
		}

		this.#awaitTurn();
		return false;
	}

	#awaitTurn(): void {
		this.#isTurnAwaited = true;
		this.input.awaitTurn(this);
	}

	#resetTurn(): void {
		this.#requestsInTurn = 0;
		this.#costInTurn = 0;
	}

	/** Whether the responses to earlier requests are being taken, and no other connection goes first. */
	#mayRead(): boolean {
		const {openRequests, writtenResponses} = this.input.limits;
		return !this.#isTurnAwaited && (this.#isInputDiscarded() || this.#awaitsFirstBody() || (this.#open.size < openRequests && this.#written.size < writtenResponses && !this.input.isFull));
	}

	/** Whether what arrives belongs to no request behind an open one. The requests of other connections must not delay it. */
	#awaitsFirstBody(): boolean {
		const [first] = this.#open.keys();
		return first === undefined || (this.#open.size === 1 && !first.req.complete);
	}

	#mayParse(): boolean {
		return this.#mayRead() && !this.socket.isPaused() && !isPausedByServer(this.socket);
	}

	#append(chunk: Uint8Array): void {
		const held = this.heldBytes;
		if (held === 0) {
			this.#buffer = chunk;
			this.#start = 0;
			this.#end = chunk.byteLength;
			return;
		}

		if (this.#end + chunk.byteLength > this.#buffer.byteLength) {
			this.#moveTo(Buffer.allocUnsafeSlow(Math.max(minimumBufferBytes, 2 * (held + chunk.byteLength))));
		}

		this.#buffer.set(chunk, this.#end);
		this.#end += chunk.byteLength;
	}

	/** Keeps no more memory than what is held needs. */
	#shrinkBuffer(): void {
		const held = this.heldBytes;
		if (held === 0) {
			this.#clear();
		} else if (this.#buffer.buffer.byteLength > Math.max(minimumBufferBytes, 4 * held)) {
			this.#moveTo(Buffer.allocUnsafeSlow(held));
		}
	}

	#moveTo(buffer: Uint8Array): void {
		buffer.set(this.#buffer.subarray(this.#start, this.#end));
		this.#end = this.heldBytes;
		this.#start = 0;
		this.#buffer = buffer;
	}

	#clear(): void {
		this.#buffer = noBytes;
		this.#start = 0;
		this.#end = 0;
	}

	#exceed(): void {
		this.options.onExceeded();
		this.discard();
		resetConnection(this.socket);
	}
}

/** Only heads and trailers have lines, or are incomplete. */
function isHeadTooLong({kind, lines, length}: Piece): boolean {
	return (kind === pieceKinds.incomplete || lines > 0) && length > maximumHeadBytes;
}

/** What it takes to parse a head or trailers, in bytes. */
function costOf({length, lines}: Piece): number {
	return length + (lines * costPerLine);
}

/** Whether the HTTP server has paused its parser, which fails when it is called. The server resumes both when the responses are taken. */
function isPausedByServer(socket: Socket): boolean {
	return (socket as {_paused?: boolean})._paused === true;
}
