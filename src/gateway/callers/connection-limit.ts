/** Descriptors that monitoring connections, sockets that listen and files need. */
const reservedDescriptors = 200;

/** Fraction of the others that connections of callers may use. Endpoints, other instances and the store need the rest. */
const callerFraction = 0.75;

/** Descriptors that are counted at most: connections cost memory, too. */
const maximumDescriptors = 4096;

/** Limit of descriptors up to which it is ignored: a platform may state one for files alone, with which no gateway could serve. */
const minimumDescriptors = 2 * reservedDescriptors;

/**
Returns the number of connections that callers may open.

@param descriptors what the operating system lets this process open
*/
export function defaultCallerConnections(descriptors = maximumDescriptors): number {
	const counted = descriptors > minimumDescriptors ? Math.min(descriptors, maximumDescriptors) : maximumDescriptors;
	return Math.floor(callerFraction * (counted - reservedDescriptors));
}
