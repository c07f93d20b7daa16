/** Member names and array indexes from the root of a document to one of its values. */
export type DocumentPath = ReadonlyArray<string | number>;

/** Formats a path as a JSON pointer (RFC 6901). Names may contain dots, so a dotted path would be ambiguous. */
export function toPointer(path: DocumentPath): string {
	return path.map(segment => `/${String(segment).replaceAll('~', '~0').replaceAll('/', '~1')}`).join('');
}

/** The value at a path, or `undefined` when the document has no value there. Inherited members are ignored. */
export function valueAt(document: unknown, path: DocumentPath): unknown {
	let value = document;
	for (const segment of path) {
		if (typeof value !== 'object' || value === null || !Object.hasOwn(value, segment)) {
			return undefined;
		}

		value = (value as Record<string | number, unknown>)[segment];
	}

	return value;
}
