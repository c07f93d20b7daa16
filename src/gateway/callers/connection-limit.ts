/** Fraction of the descriptors that connections of callers may use. Endpoints, other instances, the store, monitoring and files need the others. */
const callerFraction = 0.75;

/** Descriptors that are counted at most: connections cost memory, too. */
const maximumDescriptors = 4096;

/**
Returns the number of connections that callers may open.

@param descriptors what the operating system lets this process open
*/
export function defaultCallerConnections(descriptors = maximumDescriptors): number {
	return Math.floor(callerFraction * Math.min(descriptors, maximumDescriptors));
}
