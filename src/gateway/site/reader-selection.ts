import {hashText} from '../../shared/hash.js';

/** An instance that is heard, this one included. */
export type PresentInstance = {
	readonly host: string;
	readonly availabilityZone: string;
};

/** Number of present instances above which each availability zone has a reader of its own: one reader could not answer them all, and traffic between zones is paid for. */
const maximumInstancesPerReader = 24;

/**
Selects the instance that reads the platform's store for its group, so that the number of reads does not grow with the fleet.

The group is the whole fleet or, in a large one, the availability zone. Instances whose views of the fleet differ may select different readers, which costs only reads.

@param ownHost this instance
@param present the instances that are heard, with or without this one
@returns undefined when this instance is to read the store itself
*/
export function selectReader(ownHost: string, ownZone: string, present: readonly PresentInstance[]): string | undefined {
	const isLarge = present.length > maximumInstancesPerReader;
	let reader = ownHost;
	let lowestHash = hashText(ownHost);
	for (const {host, availabilityZone} of present) {
		const hash = hashText(host);
		if ((!isLarge || availabilityZone === ownZone) && hash < lowestHash) {
			reader = host;
			lowestHash = hash;
		}
	}

	return reader === ownHost ? undefined : reader;
}
