import {createHash} from 'node:crypto';
import {isJsonObject} from './overlay.js';

/** Hexadecimal digits of a digest. 64 bits tell apart a few thousand versions; the digest is sent in every heartbeat, so it is kept short. */
const digestHexDigits = 16;

/**
Digest of a base document and its overlay, equal on every instance whatever the order of members.

@param overlay `undefined` stands for an empty overlay
@returns 16 hexadecimal digits of the SHA-256 of the canonical form
*/
export function digestOf(base: unknown, overlay: unknown): string {
	const canonical = JSON.stringify([toCanonical(base), toCanonical(overlay ?? {})]);
	return createHash('sha256').update(canonical).digest('hex').slice(0, digestHexDigits);
}

/** Sorts the members of all objects. Entries instead of objects keep `__proto__` and integer-like names in place. */
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
