import {createHash} from 'node:crypto';
import {isJsonObject} from './overlay.js';

/** 64 bits are enough to distinguish a few thousand versions. The digest is sent in every heartbeat, so it is short. */
const digestHexDigits = 16;

/**
Digest of a base document and its overlay, equal on every instance regardless of the order of members.

@param overlay `undefined` is treated as an empty overlay
@returns 16 hexadecimal digits of the SHA-256 of the canonical form
*/
export function digestOf(base: unknown, overlay: unknown): string {
	const canonical = JSON.stringify([toCanonical(base), toCanonical(overlay ?? {})]);
	return createHash('sha256').update(canonical).digest('hex').slice(0, digestHexDigits);
}

/** Sorts the members of all objects. Arrays of entries are used instead of objects, which would treat `__proto__` and integer-like names specially. */
function toCanonical(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => toCanonical(item));
	}

	if (!isJsonObject(value)) {
		return value ?? null;
	}

	const members = Object.entries(value).filter(([, member]) => member !== undefined);
	return {members: members.toSorted(([left], [right]) => left < right ? -1 : 1).map(([key, member]) => [key, toCanonical(member)])};
}
