const lowestStatus = 100;
const highestStatus = 599;

/** Whether a status is one that HTTP defines a class for. Any other one tells a caller nothing, so it is not passed on. */
export function isDefinedStatus(status: number): boolean {
	return status >= lowestStatus && status <= highestStatus;
}
