import {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {SocketAddress} from '../../shared/address.js';
import {ByteBuffer} from '../../shared/byte-buffer.js';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {describeError} from '../../shared/describe-error.js';
import {
	closeAfterReading, listen, readArrivedRequests, readBeforeClosing,
} from '../../shared/listen.js';
import type {MemoryBudget} from '../../shared/memory-budget.js';
import type {ReadingProgress} from '../../shared/reading-progress.js';
import type {EventLog} from '../observability/event-log.js';
import type {CallerLimits} from '../site/types.js';
import {CallerConnections} from './caller-connections.js';
import {ChunkPacer} from './chunk-pacer.js';
import {memoryRetryAfterMs} from './failures.js';
import {HttpResponse} from './http-response.js';
import {PackedHeaders} from './packed-headers.js';
import type {CallerRequestMetadata} from './types.js';

/** Limits that apply until a configuration is known. */
const defaultLimits: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** Header limit of the HTTP server, which can't be changed later and is therefore above any configured limit. */
const maximumHeaderBytes = 65_536;

/** Longest idle timeout. Timers of Node.js expire at once when their time is longer than some weeks. */
const maximumIdleTimeoutMs: Milliseconds = 86_400_000;

/** Connections that may wait to be accepted. After a start, many callers connect at once. */
const backlog = 1024;

/** What an open request holds beside its head, body and response, in bytes. */
const requestBytes = 1024;

/** Copies of a head that an open request holds: its fields, and what was read from them. */
const headCopies = 2;

/** The last response on a connection, to what is not a complete request. */
function responseWithoutBody(status: string): string {
	return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}

type ReadingFailure = 'bodyTooLarge' | 'memoryExhausted' | 'headersTooLarge' | 'bodyTimeout' | 'malformedRequest';

/** A request that has been received completely. */
export type ReceivedRequest = {
	/** Its header fields are in `metadata` and `headers`. */
	readonly message: IncomingMessage;
	readonly metadata: CallerRequestMetadata;
	readonly headers: PackedHeaders;
	readonly body?: Uint8Array;
	/** When its head was read. */
	readonly arrivedAt: Milliseconds;
	/** Since when the caller may have been waiting, if what had arrived was not read for a while. */
	readonly waitingSince: Milliseconds;
	readonly response: HttpResponse;
	/** Sets the function to call when the caller leaves, or its connection closes, before the response is complete. */
	onDisconnect(callback: () => void): void;
	/** Sets the function that refuses the request when other requests need its memory. It is called until `keepInMemory`. */
	onMemoryExceeded(callback: () => void): void;
	/** Keeps the request in memory from now on, because it is being sent. */
	keepInMemory(): void;
};

export type CallerServerOptions = {
	readonly address: SocketAddress;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly readingProgress: ReadingProgress;
	/** Connections that may be open. When there are more, the one that has been waiting for its caller for longest is closed. */
	readonly maximumConnections: number;
	/** Called with the number of connections that were closed because there were too many. */
	readonly onTooManyConnections: (closed: number) => void;
	/** What the heads of all requests may hold. */
	readonly headMemory: MemoryBudget;
	/** What the bodies of all requests may hold. */
	readonly requestMemory: MemoryBudget;
	/** What the responses to all requests may hold. */
	readonly responseMemory: MemoryBudget;
	readonly decodeHeaders: (headers: IncomingHttpHeaders) => CallerRequestMetadata;
	readonly onRequest: (request: ReceivedRequest) => void;
};

/** Accepts connections of callers and reads their requests. */
export class CallerServer {
	static create(options: CallerServerOptions): CallerServer {
		return new CallerServer(options);
	}

	readonly #server: Server;
	readonly #connections: CallerConnections;
	readonly #chunkPacer = ChunkPacer.create();
	#limits = defaultLimits;
	#isStopping = false;
	#openRequests = 0;
	/** The last request on each connection. */
	readonly #lastRequests = new WeakMap<Socket, {readonly message: IncomingMessage; readonly fail: (type: ReadingFailure) => void}>();

	private constructor(private readonly options: CallerServerOptions) {
		this.#server = createServer({
			maxHeaderSize: maximumHeaderBytes,
			// Its own refusals are not counted among the responses of a connection.
			requireHostHeader: false,
			noDelay: true,
		}, (message, response) => {
			this.#handle(message, response);
		});
		this.#connections = CallerConnections.create({
			clock: options.clock,
			limits: () => this.#limits,
			maximumConnections: options.maximumConnections,
			onTooMany: options.onTooManyConnections,
			onHeaderTimeout: socket => {
				options.log.event('caller-connection-failed', {reason: 'header timeout'});
				this.#connections.endAfterResponses(socket, responseWithoutBody('408 Request Timeout'));
			},
			onHeadTooLong: socket => {
				options.log.event('caller-connection-failed', {reason: 'head too long'});
				this.#refuseUnparsed(socket, '431 Request Header Fields Too Large');
			},
			onHeld({openRequests, writtenResponses, heldBytes}) {
				options.log.event('caller-connection-held', {openRequests, writtenResponses, heldBytes});
			},
			onReset(reason) {
				options.log.event('caller-connection-failed', {reason});
			},
		});
		// Also called by the server's `close`.
		this.#server.closeIdleConnections = () => {
			this.#connections.closeIdle();
		};

		this.#server.on('connection', socket => {
			options.readingProgress.recordConnection(socket);
			this.#connections.add(socket);
		});
		this.#server.on('close', () => {
			this.#connections.dispose();
		});
		this.#server.on('timeout', () => {
			// Without a listener, Node.js destroys the connection.
		});
		// Node.js drops further lines silently. Their memory is limited by the bytes of the head.
		this.#server.maxHeadersCount = 0;
		this.#server.headersTimeout = 0;
		this.#server.requestTimeout = 0;
		this.#server.on('checkExpectation', (message, response) => {
			this.#refuseExpectation(message, response);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#handleConnectionError(error, socket);
		});
		this.setLimits(defaultLimits);
	}

	/** Number of requests that are being read or responded to. */
	get openRequests(): number {
		return this.#openRequests;
	}

	/** Number of connections that are not read, because the responses to earlier requests are not taken. */
	get heldConnections(): number {
		return this.#connections.heldCount;
	}

	/** @throws {Error} when the address can't be bound */
	async start(): Promise<void> {
		await listen(this.#server, {...this.options.address, backlog});
	}

	/** Sets the limits of requests whose heads arrive from now on, and of idle connections. */
	setLimits(limits: CallerLimits): void {
		this.#limits = {...limits, idleTimeoutMs: Math.min(limits.idleTimeoutMs, maximumIdleTimeoutMs)};
		// Responses announce it; `CallerConnections` enforces it.
		this.#server.keepAliveTimeout = this.#limits.idleTimeoutMs;
	}

	/** From now on, each response closes its connection. */
	beginStop(): void {
		this.#isStopping = true;
	}

	/** Whether new connections are accepted. */
	get isListening(): boolean {
		return this.#server.listening;
	}

	/** Closes connections without a request, once the requests that have arrived are read. */
	async closeIdleConnections(): Promise<void> {
		await readBeforeClosing(this.#server, error => {
			this.#reportReadingFailure(error);
		});
		this.#server.closeIdleConnections();
	}

	/** Resolves when connections and requests that have already arrived have been accepted and read, or after the maximum time. */
	async readArrivedRequests(maximumMs?: Milliseconds): Promise<void> {
		await readArrivedRequests(this.#server, maximumMs);
	}

	/** Stops accepting and closes connections without a request, once the requests that have arrived are read. */
	async close(): Promise<void> {
		await closeAfterReading(this.#server, error => {
			this.#reportReadingFailure(error);
		});
	}

	closeAllConnections(): void {
		this.#server.closeAllConnections();
	}

	#reportReadingFailure(error: unknown): void {
		this.options.log.event('reading-mark-failed', {reason: describeError(error)});
	}

	#handleConnectionError({code, message}: NodeJS.ErrnoException, socket: Socket): void {
		if (code === 'HPE_INVALID_EOF_STATE') {
			// The caller has left in the middle of a request.
			socket.end();
			return;
		}

		if (code === 'ECONNRESET' || !this.#connections.isEnding(socket)) {
			this.options.log.event('caller-connection-failed', {reason: code ?? message});
		}

		// The parser accepts nothing more.
		this.#connections.discardInput(socket);
		if (code === 'ECONNRESET') {
			socket.destroy();
		} else {
			this.#refuseUnparsed(socket, code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request');
		}
	}

	/** Ends a connection on which something can't be parsed. A request that is being read is refused, else the status is written after the responses to those before. */
	#refuseUnparsed(socket: Socket, status: string): void {
		const lastRequest = this.#lastRequests.get(socket);
		if (lastRequest === undefined || lastRequest.message.complete) {
			this.#connections.endAfterResponses(socket, responseWithoutBody(status));
		} else {
			lastRequest.fail('malformedRequest');
		}
	}

	#refuseExpectation(message: IncomingMessage, response: ServerResponse): void {
		message.resume();
		const isAccepted = this.#connections.addRequest(message, response, {
			onLeave: () => undefined,
			onEnd: () => undefined,
		});
		if (isAccepted) {
			this.#connections.announceClose(response);
			response.writeHead(417);
			response.end();
			this.#connections.recordWritten(response);
		}
	}

	#handle(message: IncomingMessage, response: ServerResponse): void {
		const {socket} = message;
		let onDisconnect: (() => void) | undefined;
		const reportDisconnect = () => {
			onDisconnect?.();
			onDisconnect = undefined;
		};

		const isAccepted = this.#connections.addRequest(message, response, {
			onLeave: reportDisconnect,
			onEnd: () => {
				clearTimeout(bodyTimer);
				headMemory.close();
				requestMemory.close();
				responseMemory.close();
				this.#openRequests--;
				if (!response.writableFinished) {
					reportDisconnect();
				}
			},
		});
		if (!isAccepted) {
			this.options.log.event('caller-connection-failed', {reason: 'request after the last response'});
			message.resume();
			return;
		}

		this.#openRequests++;
		const {clock, readingProgress} = this.options;
		const arrivedAt = clock.now();
		const waitingSince = readingProgress.isLate() ? arrivedAt - readingProgress.unreadMs() : arrivedAt;
		// They stay the same while the request is read.
		const limits = this.#limits;
		const headBytes = this.#connections.headBytes(socket);
		const {hasHost, metadata, headers} = this.#takeHead(message);
		// Replaced when the request is handed over.
		let refuse = () => {
			fail('memoryExhausted');
		};

		const headMemory = this.options.headMemory.openAccount(() => {
			if (!response.headersSent) {
				refuse();
			} else if (response.socket !== null) {
				// Its caller does not take it. A response behind another one has no socket yet; few of them may be open.
				callerResponse.destroy();
			}
		});
		const requestMemory = this.options.requestMemory.openAccount(() => {
			fail('memoryExhausted');
		});
		const responseMemory = this.options.responseMemory.openAccount(() => {
			callerResponse.destroy();
		});
		const callerResponse = HttpResponse.create(response, {
			memory: responseMemory,
			mustClose: () => this.#isStopping && this.#connections.isLastRequest(response),
			announceClose: () => {
				this.#connections.announceClose(response);
			},
			onWritten: () => {
				headMemory.release((headCopies * headBytes) - message.url!.length);
				headMemory.unpin();
				this.#connections.recordWritten(response);
			},
		});
		const body = ByteBuffer.create(requestMemory);
		let bytes = 0;
		let hasFailed = false;
		const fail = (type: ReadingFailure) => {
			if (!hasFailed) {
				hasFailed = true;
				body.clear();
				this.#connections.announceClose(response);
				callerResponse.fail(type === 'memoryExhausted' ? {type, retryAfterMs: memoryRetryAfterMs} : {type});
			}
		};

		this.#lastRequests.set(socket, {message, fail});
		// Restarted by each chunk, as a slow link needs time in proportion to the length of the body.
		const bodyTimer = setTimeout(() => {
			const bytesBefore = bytes;
			// What has arrived is read before the body is judged by its absence.
			setImmediate(() => {
				if (bytes === bytesBefore && !message.complete) {
					fail('bodyTimeout');
				}
			});
		}, limits.idleTimeoutMs);
		response.on('error', error => {
			this.options.log.event('caller-connection-failed', {reason: error.message});
		});
		message.on('data', (chunk: Uint8Array) => {
			bytes += chunk.byteLength;
			bodyTimer.refresh();
			this.#chunkPacer.recordChunk(message, chunk);
			if (bytes > limits.bodyBytes) {
				fail('bodyTooLarge');
			} else if (!hasFailed) {
				try {
					body.append(chunk);
				} catch {
					fail('memoryExhausted');
				}
			}
		});
		if (headBytes > limits.headerBytes) {
			fail('headersTooLarge');
		} else if (message.httpVersion === '1.1' && !hasHost) {
			fail('malformedRequest');
		} else {
			try {
				headMemory.reserve((headCopies * headBytes) + requestBytes);
			} catch {
				fail('memoryExhausted');
			}
		}

		message.on('end', () => {
			clearTimeout(bodyTimer);
			message.rawTrailers = [];
			this.#chunkPacer.recordEnd(message);
			requestMemory.pin();
			this.#whenCallerIsPresent(socket, () => {
				if (hasFailed || response.destroyed || socket.destroyed) {
					return;
				}

				try {
					const bytes = body.take();
					requestMemory.reserve(bytes.byteLength);
					this.options.onRequest({
						message,
						metadata,
						headers,
						body: bytes.byteLength === 0 ? undefined : bytes,
						arrivedAt,
						waitingSince,
						response: callerResponse,
						onDisconnect(callback) {
							onDisconnect = callback;
						},
						onMemoryExceeded(callback) {
							refuse = callback;
						},
						keepInMemory() {
							headMemory.pin();
						},
					});
				} catch (error) {
					this.options.log.event('request-error', {reason: describeError(error)});
					callerResponse.fail({type: 'internalError'});
				}
			});
		});
	}

	/** Returns what is needed of a head, and drops its header fields, which may take ten times their bytes. */
	#takeHead(message: IncomingMessage): {readonly hasHost: boolean; readonly metadata: CallerRequestMetadata; readonly headers: PackedHeaders} {
		const head = {
			hasHost: message.headers.host !== undefined,
			metadata: this.options.decodeHeaders(message.headers),
			headers: PackedHeaders.create(message.rawHeaders),
		};
		message.rawHeaders = [];
		message.headers = {};
		return head;
	}

	/** Calls back for a request that has been read, unless its caller has left. The disconnect of a caller is read after its request. */
	#whenCallerIsPresent(socket: Socket, callback: () => void): void {
		const {readingProgress, log} = this.options;
		const waitingSince = readingProgress.takeWaitingSince(socket);
		if (!readingProgress.isLate(waitingSince)) {
			callback();
			return;
		}

		const unreadMs = Math.round(readingProgress.unreadMs(waitingSince));
		readingProgress.afterReading(() => {
			if (socket.readableEnded || socket.destroyed) {
				log.event('caller-left-unread', {unreadMs});
			} else {
				callback();
			}
		});
	}
}
