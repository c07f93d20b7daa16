import {isDeepStrictEqual} from 'node:util';
import {isJsonObject} from './overlay.js';
import {type DocumentPath, toPointer} from './pointer.js';

/** One value that differs between two documents. */
export type ConfigurationChange = {
	/** JSON pointer (RFC 6901). */
	readonly path: string;
	/** Absent when the value was added. */
	readonly before?: unknown;
	/** Absent when the value was removed. */
	readonly after?: unknown;
};

/**
Lists the values that differ between two documents, sorted by member name.

Objects are compared member by member, all other values as a whole. An added or removed object is one change.
*/
export function differenceBetween(before: unknown, after: unknown): ConfigurationChange[] {
	return compare(before, after, []);
}

function compare(before: unknown, after: unknown, path: DocumentPath): ConfigurationChange[] {
	if (!isJsonObject(before) || !isJsonObject(after)) {
		return isDeepStrictEqual(before, after) ? [] : [{path: toPointer(path), before, after}];
	}

	const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].toSorted();
	return keys.flatMap(key => compare(ownMember(before, key), ownMember(after, key), [...path, key]));
}

function ownMember(value: Readonly<Record<string, unknown>>, key: string): unknown {
	return Object.hasOwn(value, key) ? value[key] : undefined;
}
