import {hashText} from '../../shared/hash.js';

/** Longest id that is used as it is. Callers choose the ids; longer ones are replaced by a hash, so that memory and datagrams stay bounded. */
const maximumIdLength = 32;

/** Returns the keys under which the quarantine knows prompt parts. */
export function partKeysOf(ids: readonly string[]): readonly string[] {
	return [...new Set(ids.map(id => id.length <= maximumIdLength ? id : `hash:${hashText(id).toString(16)}`))];
}
