type JsonObject = Readonly<Record<string, unknown>>;

/** Whether a value is a JSON object, which excludes `null` and arrays. */
export function isJsonObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
Applies a JSON merge patch (RFC 7396) and returns the result. Neither argument is changed.

A member with the value `null` removes the member from the base. Arrays are replaced as a whole.

@param overlay `undefined` is treated as an empty overlay
*/
export function mergeOverlay(base: unknown, overlay: unknown): unknown {
	if (overlay === undefined) {
		return base;
	}

	if (!isJsonObject(overlay)) {
		return overlay;
	}

	// `fromEntries` defines own members, so a member called `__proto__` does not replace the prototype.
	const members = new Map(isJsonObject(base) ? Object.entries(base) : []);
	for (const [key, value] of Object.entries(overlay)) {
		if (value === null) {
			members.delete(key);
		} else {
			members.set(key, mergeOverlay(members.get(key), value));
		}
	}

	return Object.fromEntries(members);
}
