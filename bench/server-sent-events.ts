/** Parses server-sent events on the client side. */

export type ServerSentEvent = {
	readonly id?: string;
	/** Default: `message`. */
	readonly type: string;
	readonly data: string;
};

function parseEvent(block: string): ServerSentEvent {
	const fields = block.split('\n').map(line => {
		const separator = line.indexOf(':');
		return [line.slice(0, separator), line.slice(separator + 1).trimStart()] as const;
	});
	return {
		id: fields.findLast(([name]) => name === 'id')?.[1],
		type: fields.findLast(([name]) => name === 'event')?.[1] ?? 'message',
		data: fields.filter(([name]) => name === 'data').map(([, value]) => value).join('\n'),
	};
}

/** Yields complete events. A last event without its terminating empty line is discarded. */
export async function * readEvents(body: AsyncIterable<Uint8Array>): AsyncIterableIterator<ServerSentEvent> {
	const decoder = new TextDecoder();
	let text = '';
	for await (const chunk of body) {
		text += decoder.decode(chunk, {stream: true});
		for (let end = text.indexOf('\n\n'); end !== -1; end = text.indexOf('\n\n')) {
			const block = text.slice(0, end);
			text = text.slice(end + 2);
			if (block !== '') {
				yield parseEvent(block);
			}
		}
	}
}
