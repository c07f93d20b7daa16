/** Writes a stream of the stand-in engine to a client, as server-sent events or as one JSON document. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EngineStream, StreamSubscriber} from './engine-stream.js';
import {resetConnection, sendJson} from './stand-in-server.js';

/** Faults that a test can queue for the next responses. */
export type ResponseFault = 'none' | 'gap' | 'foreign-id';

export type ResponseTarget = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly fault: ResponseFault;
};

const foreignRequestId = 'request-of-another-caller';

function usageOf({usage, completion}: EngineStream) {
	/* eslint-disable @typescript-eslint/naming-convention */
	return {
		prompt_tokens: usage.promptTokens,
		completion_tokens: completion.tokens.length,
		total_tokens: usage.promptTokens + completion.tokens.length,
		prompt_tokens_details: {cached_tokens: usage.promptTokensSaved},
	};
	/* eslint-enable @typescript-eslint/naming-convention */
}

function chunkOf(stream: EngineStream, index: number, id: string): string {
	const {body} = stream;
	const isLast = stream.isLastEvent(index);
	const text = stream.events[index] ?? '';
	const content = body.messages ? {delta: {content: text}} : {text};
	return JSON.stringify({
		id,
		object: body.messages ? 'chat.completion.chunk' : 'text_completion',
		model: body.model,
		choices: [{index: 0, ...content, finish_reason: isLast ? 'length' : null}], // eslint-disable-line @typescript-eslint/naming-convention
		...(isLast ? {usage: usageOf(stream)} : {}),
	});
}

/** Subscribes to a stream until it ends or the client disconnects. */
function subscribeWhileConnected(stream: EngineStream, target: ResponseTarget, subscriber: Omit<StreamSubscriber, 'disconnect'>): void {
	const disconnectable: StreamSubscriber = {
		...subscriber,
		disconnect() {
			resetConnection(target.request);
		},
	};
	target.response.once('close', () => {
		stream.unsubscribe(disconnectable);
	});
	stream.subscribe(disconnectable);
}

function endAndMarkDelivered(stream: EngineStream, response: ServerResponse, lastBytes: string): void {
	response.end(lastBytes, () => {
		stream.markDelivered();
	});
}

/** Writes the events after event `after`, then the others as they are emitted. */
export function writeEvents(stream: EngineStream, target: ResponseTarget, after: number): void {
	const {response, fault} = target;
	const id = fault === 'foreign-id' ? foreignRequestId : stream.requestId;
	const skippedIndex = fault === 'gap' ? after + 1 : -1;
	const write = (index: number) => {
		if (index !== skippedIndex) {
			response.write(`id: ${index + 1}\ndata: ${chunkOf(stream, index, id)}\n\n`);
		}
	};

	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': id});
	response.flushHeaders();
	for (let index = after; index < stream.events.length; index++) {
		write(index);
	}

	subscribeWhileConnected(stream, target, {
		onEvent: write,
		onEnd() {
			if (stream.state === 'complete') {
				endAndMarkDelivered(stream, response, 'data: [DONE]\n\n');
			} else {
				response.destroy();
			}
		},
	});
}

/** Writes the whole response as one document when the stream has ended. */
export function writeDocument(stream: EngineStream, target: ResponseTarget): void {
	const {response, fault} = target;
	const {body, completion} = stream;
	const id = fault === 'foreign-id' ? foreignRequestId : stream.requestId;
	const content = body.messages ? {message: {role: 'assistant', content: completion.text}} : {text: completion.text};
	subscribeWhileConnected(stream, target, {
		onEvent() {
			// The document is written at the end.
		},
		onEnd() {
			if (stream.state !== 'complete') {
				response.destroy();
				return;
			}

			response.once('finish', () => {
				stream.markDelivered();
			});
			sendJson(response, 200, {
				id,
				object: body.messages ? 'chat.completion' : 'text_completion',
				model: body.model,
				choices: [{index: 0, ...content, finish_reason: 'length'}], // eslint-disable-line @typescript-eslint/naming-convention
				usage: usageOf(stream),
			}, {'x-request-id': id});
		},
	});
}
