import {readFileSync} from 'node:fs';

const limitPattern = /^Max open files +(?<limit>\d+) /mv;

/**
Returns how many descriptors the operating system lets this process open, from `/proc/self/limits`.

@returns undefined when there is no such limit, or it can't be read
*/
export function readDescriptorLimit(): number | undefined {
	try {
		const limit = limitPattern.exec(readFileSync('/proc/self/limits', 'utf8'))?.groups?.limit;
		return limit === undefined ? undefined : Number(limit);
	} catch {
		// Other systems have no such file.
		return undefined;
	}
}
